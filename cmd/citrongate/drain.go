package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/client"
)

// drainPollInterval is the interval at which --wait checks whether the instance has
// stopped.
const drainPollInterval = 250 * time.Millisecond

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "start a planned stop of one instance",
		Description: `The instance leaves discovery, still serves callers that use an older discovery
answer, finishes the requests in progress and exits. No request is interrupted.

Example:
  citrongate drain --admin 10.0.0.7:8081 --wait --timeout 15m`,
		Flags: append([]cli.Flag{
			&cli.BoolFlag{Name: "wait", Usage: "wait until the instance has stopped"},
		}, adminFlags()...),
		Action: runDrain,
	}
}

func runDrain(ctx context.Context, command *cli.Command) error {
	admin, err := newAdmin(command)
	if err != nil {
		return err
	}
	if len(admin.Addresses) != 1 {
		return newUsageError("drain stops one instance; give a single --admin address")
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	if err := admin.Drain(ctx); err != nil {
		return err
	}
	if !command.Bool("wait") {
		fmt.Fprintf(writer(command), "%s is draining; citrongate status shows its progress\n", admin.Addresses[0])
		return nil
	}
	if err := waitUntilStopped(ctx, admin); err != nil {
		return err
	}
	fmt.Fprintf(writer(command), "%s has stopped\n", admin.Addresses[0])
	return nil
}

// waitUntilStopped returns when the instance no longer accepts connections.
func waitUntilStopped(ctx context.Context, admin *client.Admin) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if _, _, err := admin.Status(ctx); client.Gone(err) {
			return nil
		}
		select {
		case <-ctx.Done():
			return client.Failed.New("the instance is still draining; remedy: increase --timeout, or check citrongate status")
		case <-ticker.C:
		}
	}
}
