package main

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

// leaveUnanswered takes an address at which connections that are opened get no answer, as at a
// machine without power: its queue of new connections is full. end gives the address back.
func leaveUnanswered(address string) (end func(), err error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	end = func() { _ = syscall.Close(fd) }
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		end()
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		end()
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		end()
		return nil, err
	}
	var filling []net.Conn
	for range 4 {
		c, err := net.DialTimeout("tcp", address, 30*time.Millisecond)
		if err != nil {
			break // the queue is full
		}
		filling = append(filling, c)
	}
	return func() {
		_ = syscall.Close(fd)
		for _, c := range filling {
			_ = c.Close()
		}
	}, nil
}
