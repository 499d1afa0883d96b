package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/standin/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "object API and instance list, with a control API under /control/",
		Description: `Example:
  citrongate-standin platform --listen 127.0.0.1:8100 --upstream engine-1 --upstream engine-2
  curl -X POST -d '{"outage":true}' http://127.0.0.1:8100/control/state`,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "reads-per-second", Value: 2000, Usage: "limit of reads, lists and watches; 0 for none"},
			&cli.FloatFlag{Name: "writes-per-second", Value: 300, Usage: "limit of writes; 0 for none"},
			&cli.DurationFlag{Name: "list-lag", Value: 500 * time.Millisecond, Usage: "age of the instance list that is returned"},
			&cli.DurationFlag{Name: "instance-ttl", Value: 5 * time.Second, Usage: "time after its last heartbeat at which an instance is removed from the list"},
			&cli.StringSliceFlag{Name: "upstream", Usage: "`NAME` of an upstream to list; may be repeated"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	p := platform.New(platform.Config{
		ReadsPerSecond:  command.Float("reads-per-second"),
		WritesPerSecond: command.Float("writes-per-second"),
		ListLag:         command.Duration("list-lag"),
		InstanceTTL:     command.Duration("instance-ttl"),
	})
	for _, name := range command.StringSlice("upstream") {
		p.AddUpstream(name, "1")
	}
	go p.Run(ctx)
	return serve(ctx, "platform", command.String("listen"), p.Handler())
}
