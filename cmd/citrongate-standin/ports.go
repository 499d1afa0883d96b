package main

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"
)

func portsCommand() *cli.Command {
	return &cli.Command{
		Name:  "ports",
		Usage: "print loopback ports that are free for TCP and UDP, one a line",
		Flags: []cli.Flag{&cli.IntFlag{Name: "count", Aliases: []string{"n"}, Value: 1, Usage: "number of ports"}},
		Action: func(_ context.Context, command *cli.Command) error {
			return printPorts(command.Int("count"))
		},
	}
}

// printPorts holds all ports until the last one is found, so that they differ.
func printPorts(count int) error {
	for printed := 0; printed < count; {
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		defer tcp.Close()
		port := tcp.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			continue
		}
		defer udp.Close()
		fmt.Println(port)
		printed++
	}
	return nil
}
