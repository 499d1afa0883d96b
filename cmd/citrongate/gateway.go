package main

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/citrongate/citrongate/internal/client"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/gateway"
	"github.com/citrongate/citrongate/internal/settings"
	"github.com/citrongate/citrongate/internal/telemetry"
	"github.com/citrongate/citrongate/platform"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// runGateway runs a gateway on the platform until a planned stop has finished.
func runGateway(path string, loaded *pb.Settings, out io.Writer) error {
	buffer := telemetry.NewBuffer(out)
	defer buffer.Close()
	lines := telemetry.NewLogger(buffer, loaded.GetLog().GetLevel())
	telemetry.RouteNBIO(lines)
	store := platform.NewStore(loaded.GetPlatform().GetAddress(), settings.Duration(loaded.GetPlatform().GetCallTimeout()))
	defer store.Close()
	g, err := gateway.New(loaded, lines, store, platform.Codec{})
	if err != nil {
		return err
	}
	log := g.Log().WithLostLines(buffer.TakeLost)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	if err := g.Start(); err != nil {
		return err
	}
	defer g.Close()
	for {
		select {
		case <-reloads:
			reload(path, g, log)
		case <-signals:
			g.Drain()
			return waitForFinish(g.WaitDrained, signals, log)
		}
	}
}

// reload reads the settings again and puts them in force. Settings that are not
// valid change nothing.
func reload(path string, g *gateway.Gateway, log *eventlog.Logger) {
	next, err := settings.Load(path)
	if err != nil {
		log.Write(eventlog.InvalidSettings{Error: err.Error()})
		return
	}
	g.Reload(next)
}

// openOrderStore returns a client of the store that holds orders.
func openOrderStore(address string, timeout time.Duration) orderStore {
	return platform.NewStore(address, timeout)
}

// orderStoreError translates an error of the store to one that determines the exit code.
func orderStoreError(err error, service string) error {
	switch {
	case platform.IsMissing(err):
		return client.Failed.New("there is no order for the service %q; remedy: name the service of an order, or give one", service)
	case errorx.IsOfType(err, platform.ErrUnavailable):
		return client.NotReached.Wrap(err, "the store was not reached; remedy: check --store")
	}
	return err
}
