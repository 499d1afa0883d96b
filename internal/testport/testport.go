// Package testport allocates loopback addresses for processes that tests start.
//
// Ports come from a range below the ephemeral ports that systems assign to outgoing
// connections. A test process reserves one slot of the range by listening on the
// slot's first port, so that no two test processes get the same port.
package testport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	lowestPort = 20000
	slotPorts  = 500
	slotCount  = 24
)

var (
	errNoSlot        = errors.New("no free slot of ports; end other test processes")
	errSlotExhausted = errors.New("the slot of ports is exhausted; start fewer processes in one test run")
)

// slot is the section of the range that this process has reserved. lock listens on
// its first port; next is the last port tried, last the end of the slot.
var slot struct {
	sync.Mutex
	lock       net.Listener
	next, last int
}

// Reserve returns addresses that are free for TCP and UDP and that no other test process
// uses; it never returns an address twice.
func Reserve(count int) ([]string, error) {
	slot.Lock()
	defer slot.Unlock()
	if slot.lock == nil {
		if err := reserveSlot(); err != nil {
			return nil, err
		}
	}
	var addresses []string
	for len(addresses) < count {
		if slot.next++; slot.next > slot.last {
			return nil, errSlotExhausted
		}
		if address := loopback(slot.next); isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

func reserveSlot() error {
	for _, index := range rand.Perm(slotCount) {
		first := lowestPort + index*slotPorts
		if lock, err := net.Listen("tcp", loopback(first)); err == nil {
			slot.lock, slot.next, slot.last = lock, first, first+slotPorts-1
			return nil
		}
	}
	return errNoSlot
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func isFree(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = udp.Close()
	return true
}
