package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/urfave/cli/v3"
)

// The range lies below the ephemeral ports that systems commonly assign to outgoing
// connections, since such a connection could occupy a port before the process for
// which it is intended.
const (
	lowestPort  = 16000
	highestPort = 20000
	maxAttempts = 10000
)

func portsCommand() *cli.Command {
	return &cli.Command{
		Name:  "ports",
		Usage: "print loopback ports that are free for TCP and UDP, one per line",
		Flags: []cli.Flag{&cli.IntFlag{Name: "count", Aliases: []string{"n"}, Value: 1, Usage: "number of ports"}},
		Action: func(_ context.Context, command *cli.Command) error {
			return printPorts(command.Int("count"))
		},
	}
}

// printPorts keeps all ports open until the last one is found, so that they differ.
func printPorts(count int) error {
	printed := 0
	for range maxAttempts {
		if printed == count {
			return nil
		}
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			continue
		}
		defer tcp.Close()
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			continue
		}
		defer udp.Close()
		fmt.Println(port)
		printed++
	}
	return fmt.Errorf("found only %d of %d free ports", printed, count)
}
