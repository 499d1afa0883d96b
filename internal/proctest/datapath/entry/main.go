// Command entry runs one entry instance as the daemon does, and writes a CPU profile
// and a heap profile when it is stopped, if asked for. It is used only by the command
// datapath.
package main

import (
	"flag"
	"os"
	"os/signal"
	"runtime"
	"runtime/pprof"
	"syscall"

	"github.com/citrongate/citrongate/internal/daemon"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/settings"
	"github.com/citrongate/citrongate/internal/telemetry"
	"github.com/citrongate/citrongate/pkg/node"
)

func main() {
	config := flag.String("c", "", "settings file")
	profile := flag.String("profile", "", "write a CPU profile to this file")
	heap := flag.String("heap", "", "write a heap profile to this file at the end")
	flag.Parse()
	if err := run(*config, *profile, *heap); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

func run(config, profile, heap string) error {
	loaded, err := settings.Load(config)
	if err != nil {
		return err
	}
	log := telemetry.NewLogger(os.Stderr, loaded.GetLog().GetLevel())
	telemetry.RouteNBIO(log)
	d, err := daemon.New(loaded, log, func(cfg node.Config, seed uint64) nodeloop.Machine { return node.New(cfg, seed) })
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	defer d.Close()
	if profile != "" {
		file, err := os.Create(profile)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	if heap != "" {
		return writeHeap(heap)
	}
	return nil
}

func writeHeap(name string) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	runtime.GC()
	return pprof.WriteHeapProfile(file)
}
