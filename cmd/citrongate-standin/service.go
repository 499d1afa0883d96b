package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/standin/service"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "plain HTTP service with a ledger of runs, with a control API under /control/",
		Description: `Example:
  citrongate-standin service --listen 127.0.0.1:8301 --work 20ms
  curl http://127.0.0.1:8301/control/ledger`,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "work", Value: 20 * time.Millisecond, Usage: "processing time of each call"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			s := service.New(service.Config{Work: command.Duration("work")})
			return serve(ctx, "service", command.String("listen"), s.Handler())
		},
	}
}
