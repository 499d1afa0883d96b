package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/daemon"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/settings"
	"github.com/citrongate/citrongate/internal/telemetry"
	"github.com/citrongate/citrongate/pkg/node"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry instance",
		Description: `Runs until SIGTERM or SIGINT, then leaves discovery, finishes the requests in
progress and exits. A second signal stops it at once. The log is written as JSON
lines to standard error, or to standard output for a gateway ([gateway] mode =
on).

Example:
  citrongate serve -c examples/entry.ini`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Required: true, Usage: "settings `FILE`"},
			&cli.StringFlag{
				Name: "bootstrap-operator-sha256", Sources: cli.EnvVars("CITRONGATE_BOOTSTRAP_OPERATOR_SHA256"),
				Usage: "SHA-256 `DIGEST` of an operator's token; overrides [bootstrap] operator_token_sha256",
			},
		},
		Action: runServe,
	}
}

func runServe(_ context.Context, command *cli.Command) error {
	loaded, err := settings.Load(command.String("config"))
	if err != nil {
		return err
	}
	if digest := command.String("bootstrap-operator-sha256"); digest != "" {
		loaded.Bootstrap.OperatorTokenSha256 = digest
	}
	if loaded.GetGateway().GetMode() == settings.On {
		return runGateway(command.String("config"), loaded, writer(command))
	}
	log := telemetry.NewLogger(errWriter(command), loaded.GetLog().GetLevel())
	telemetry.RouteNBIO(log)
	d, err := daemon.New(loaded, log, func(cfg node.Config, seed uint64) nodeloop.Machine { return node.New(cfg, seed) })
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	if err := d.Start(); err != nil {
		return err
	}
	defer d.Close()
	return waitForStop(d, signals, eventlog.New(log, loaded.GetInstance().GetName(), "", nil))
}

// waitForStop waits for a signal, or for an order to drain, and then for the end of
// the planned stop or a second signal.
func waitForStop(d *daemon.Daemon, signals <-chan os.Signal, log *eventlog.Logger) error {
	select {
	case <-signals:
		d.Drain()
	case <-d.Draining():
	}
	return waitForFinish(d.Finish, signals, log)
}

// waitForFinish waits for the end of a planned stop. It returns an error if a second
// signal comes first.
func waitForFinish(wait func(context.Context), signals <-chan os.Signal, log *eventlog.Logger) error {
	finished := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer close(finished)
		wait(ctx)
	}()
	select {
	case <-finished:
		log.Write(eventlog.StopFinished{})
		return nil
	case <-signals:
		log.Write(eventlog.StopFinished{AtOnce: true})
		return errorx.Interrupted.New("stopped at once by a second signal; requests in progress were cut off")
	}
}
