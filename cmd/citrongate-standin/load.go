package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/standin/load"
	"github.com/citrongate/citrongate/internal/standin/platform"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send mixed calls for some seconds and print a summary of their outcomes",
		Description: `Flows are given as key=value pairs: kind, type (model, service, booking), tier,
model, token, rate (calls per second), deadline, min-tokens, max-tokens,
prompt-bytes, label.KEY. Model calls and service calls are retried after a
truncated answer, bookings only with the same key. Exits 1 if the audit of the
ledgers finds a violation.

Example:
  citrongate-standin load --platform 127.0.0.1:8100 --seconds 5 \
    --flow kind=chat,tier=1,rate=20,token=desk-trial-token \
    --flow kind=book,type=booking,tier=0,rate=5,token=desk-trial-token \
    --service 127.0.0.1:8301 --engine 127.0.0.1:8201`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`ADDRESS` of the platform whose instance list contains the entry instances"},
			&cli.StringSliceFlag{Name: "entry", Usage: "caller `ADDRESS` of an entry instance, instead of --platform; may be repeated"},
			&cli.StringSliceFlag{Name: "flow", Required: true, Config: cli.StringConfig{TrimSpace: true}, Usage: "one flow; may be repeated"},
			&cli.FloatFlag{Name: "seconds", Value: 5, Usage: "time during which calls are started"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrival times and answer lengths"},
			&cli.StringSliceFlag{Name: "no-bookings", Usage: "caller `ADDRESS` of an entry instance that is sent no bookings"},
			&cli.StringSliceFlag{Name: "service", Usage: "`ADDRESS` of a service whose ledger is audited"},
			&cli.StringSliceFlag{Name: "engine", Usage: "`ADDRESS` of an engine whose run counts are audited"},
			&cli.BoolFlag{Name: "lines", Usage: "print a line for each call"},
		},
		DisableSliceFlagSeparator: true,
		Action:                    runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	config, err := loadConfig(ctx, command)
	if err != nil {
		return err
	}
	outcomes := load.Run(ctx, config)
	load.WriteSummary(command.Root().Writer, outcomes)
	violations, err := load.Audit(ctx, outcomes, command.StringSlice("service"), command.StringSlice("engine"))
	if err != nil {
		return fmt.Errorf("the audit failed: %w", err)
	}
	for _, violation := range violations {
		fmt.Println("violation:", violation)
	}
	fmt.Printf("load: %d/%d answered whole, %d violations\n", load.CountComplete(outcomes), len(outcomes), len(violations))
	if len(violations) > 0 {
		return fmt.Errorf("the ledgers contradict the reported outcomes")
	}
	return nil
}

func loadConfig(ctx context.Context, command *cli.Command) (load.Config, error) {
	config := load.Config{
		Entries:       command.StringSlice("entry"),
		AvoidBookings: command.StringSlice("no-bookings"),
		Duration:      time.Duration(command.Float("seconds") * float64(time.Second)),
		Seed:          command.Uint64("seed"),
	}
	for _, text := range command.StringSlice("flow") {
		flow, err := load.ParseFlow(text)
		if err != nil {
			return config, err
		}
		config.Flows = append(config.Flows, flow)
	}
	if command.Bool("lines") {
		config.Report = func(outcome load.Outcome) { fmt.Println(outcome) }
	}
	if len(config.Entries) > 0 {
		return config, nil
	}
	var err error
	config.Entries, err = listEntries(ctx, command.String("platform"))
	return config, err
}

// listEntries returns the caller addresses of the entry instances that are not leaving.
func listEntries(ctx context.Context, address string) ([]string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/instances", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("the platform's instance list cannot be read: %w", err)
	}
	defer response.Body.Close()
	var list struct{ Instances []platform.Instance }
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, err
	}
	var entries []string
	for _, instance := range list.Instances {
		if instance.CallerAddress != "" && !instance.Leaving {
			entries = append(entries, instance.CallerAddress)
		}
	}
	if len(entries) == 0 {
		return nil, fmt.Errorf("the platform lists no entry instance; start one with citrongate serve")
	}
	return entries, nil
}
