package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/standin/engine"
)

func engineCommand() *cli.Command {
	defaults := engine.Defaults()
	return &cli.Command{
		Name:  "engine",
		Usage: "language-model server with continuous batching, with a control API under /control/",
		Description: `The text of an answer depends only on the last message; a message that contains
tokens=N is answered with N tokens.

Example:
  citrongate-standin engine --listen 127.0.0.1:8201 --model small --step-base 20ms
  curl -X POST -d '{"slowdown":5}' http://127.0.0.1:8201/control/state`,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringSliceFlag{Name: "model", Value: []string{"small"}, Usage: "`NAME` of a loaded model; may be repeated"},
			&cli.IntFlag{Name: "max-batch", Value: defaults.MaxBatch, Usage: "maximum number of sequences processed in one step"},
			&cli.IntFlag{Name: "max-waiting", Value: defaults.MaxWaiting, Usage: "maximum number of sequences that wait for the batch"},
			&cli.DurationFlag{Name: "step-base", Value: defaults.StepBase, Usage: "base time of a step"},
			&cli.DurationFlag{Name: "step-per-sequence", Value: defaults.StepPerSequence, Usage: "time that each decoding sequence adds to a step"},
			&cli.FloatFlag{Name: "prefill-tokens-per-second", Value: defaults.PrefillTokensPerSecond, Usage: "prefill rate"},
			&cli.IntFlag{Name: "prefill-chunk", Value: defaults.PrefillChunk, Usage: "maximum number of prompt tokens per step"},
			&cli.IntFlag{Name: "cache-blocks", Value: defaults.CacheBlocks, Usage: "capacity of the prefix cache in blocks of 16 tokens"},
			&cli.DurationFlag{Name: "load-lag", Value: defaults.LoadLag, Usage: "delay of load reports"},
			&cli.DurationFlag{Name: "cache-event-lag", Value: defaults.CacheEventLag, Usage: "delay of cache events"},
			&cli.IntFlag{Name: "cache-event-gap", Value: defaults.CacheEventGap, Usage: "lose each `N`-th cache event; 0 for none"},
			&cli.BoolFlag{Name: "check-fencing", Usage: "refuse orders with an outdated fencing number"},
			&cli.DurationFlag{Name: "grace", Value: defaults.ReaderGrace, Usage: "time for which a stream continues without a reader"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, command *cli.Command) error {
	config := engine.Defaults()
	config.Models = command.StringSlice("model")
	config.MaxBatch = command.Int("max-batch")
	config.MaxWaiting = command.Int("max-waiting")
	config.StepBase = command.Duration("step-base")
	config.StepPerSequence = command.Duration("step-per-sequence")
	config.PrefillTokensPerSecond = command.Float("prefill-tokens-per-second")
	config.PrefillChunk = command.Int("prefill-chunk")
	config.CacheBlocks = command.Int("cache-blocks")
	config.LoadLag = command.Duration("load-lag")
	config.CacheEventLag = command.Duration("cache-event-lag")
	config.CacheEventGap = command.Int("cache-event-gap")
	config.CheckFencing = command.Bool("check-fencing")
	config.ReaderGrace = command.Duration("grace")
	if config.MaxBatch < 1 || config.PrefillChunk < 1 || config.PrefillTokensPerSecond <= 0 {
		return cli.Exit("max-batch, prefill-chunk and prefill-tokens-per-second must be positive", 2)
	}
	e := engine.New(config)
	go e.Run(ctx)
	return serve(ctx, "engine", command.String("listen"), e.Handler())
}
