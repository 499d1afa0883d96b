// Command citrongate-standin runs small stand-ins for the external systems that
// citrongate works with: platform, model engine, plain service and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/version"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:                  "citrongate-standin",
		Usage:                 "stand-ins for platform, engines, services and callers",
		Version:               version.Version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), loadCommand(), portsCommand()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
