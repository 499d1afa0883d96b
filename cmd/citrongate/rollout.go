package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/client"
	"github.com/citrongate/citrongate/internal/settings"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/rollout"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// flagStore is the flag with the address of the platform's store.
const flagStore = "store"

// orderStore holds the orders of gateways and the operators' commands on them.
type orderStore interface {
	Rollout(ctx context.Context, service string) (ingress.Rollout, error)
	WriteRolloutCommand(ctx context.Context, service string, c ingress.RolloutCommand) error
	Close()
}

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollout",
		Usage: "show an order to move a service to another version, or intervene in it",
		Description: `Gateways read a command within seconds. None cuts off a request in progress.

Examples:
  citrongate rollout status checkout --store 10.0.0.9:2379
  citrongate rollout revert checkout --store 10.0.0.9:2379`,
		Action: func(_ context.Context, _ *cli.Command) error {
			return newUsageError("rollout requires the subcommand status, hold, resume, complete or revert; " +
				"remedy: citrongate rollout --help shows examples")
		},
		Commands: []*cli.Command{
			rolloutStatusCommand(),
			interveneCommand("hold", rollout.Hold, "keep the order where it is; bad answers still revert it"),
			interveneCommand("resume", rollout.Resume, "end a hold"),
			interveneCommand("complete", rollout.Complete,
				"move all traffic to the version without waiting for the judgement"),
			interveneCommand("revert", rollout.Revert, "take the version out of use"),
		},
	}
}

func storeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagStore, Required: true, Sources: cli.EnvVars("CITRONGATE_STORE"),
			Usage: "`ADDRESS` of the platform's store",
		},
		&cli.DurationFlag{Name: flagTimeout, Value: 15 * time.Second, Usage: "time limit of the command"},
	}
}

func rolloutStatusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "print what the store has of an order",
		ArgsUsage: "SERVICE",
		Description: `The figures are those of the owner's last write; the log lines "rollout changed" have
the evidence. With the settings of a gateway, the exposure that is allowed is printed.

Example:
  citrongate rollout status checkout --store 10.0.0.9:2379 -c entry.ini`,
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` of a gateway"},
			&cli.StringFlag{
				Name: flagOutput, Aliases: []string{"o"}, Value: "table",
				Usage: "`FORMAT` of the output: json or table", Validator: checkOutput,
			},
		}, storeFlags()...),
		Action: runRolloutStatus,
	}
}

func interveneCommand(name string, c rollout.Command, usage string) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "SERVICE",
		Flags:     storeFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			return runIntervene(ctx, command, c)
		},
	}
}

// readOrder reads the order for the service that the arguments name. The caller closes the
// store.
func readOrder(ctx context.Context, command *cli.Command) (orderStore, ingress.Rollout, error) {
	given, err := checkArguments(command, 1, 1)
	if err != nil {
		return nil, ingress.Rollout{}, err
	}
	store := openOrderStore(command.String(flagStore), command.Duration(flagTimeout))
	order, err := store.Rollout(ctx, given[0])
	if err != nil {
		store.Close()
		return nil, ingress.Rollout{}, orderStoreError(err, given[0])
	}
	return store, order, nil
}

// runIntervene stores a command on the order that is in the store now. A finished order is an error.
func runIntervene(ctx context.Context, command *cli.Command, c rollout.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	store, order, err := readOrder(ctx, command)
	if err != nil {
		return err
	}
	defer store.Close()
	service := order.Order.Service
	if stored := storedRecord(&order); stored.Phase.Final() {
		return client.Failed.New("the order for %s is %s, which is final; remedy: give a new order", service, stored.Phase)
	}
	err = store.WriteRolloutCommand(ctx, service, ingress.RolloutCommand{Order: order.Order.ID, Command: c})
	if err != nil {
		return orderStoreError(err, service)
	}
	fmt.Fprintf(writer(command), "%s of %s to %s is stored; citrongate rollout status shows when it is carried out\n",
		command.Name, service, order.Order.Version)
	return nil
}

// storedRecord returns the record of an order; the zero value if the store has none of it.
func storedRecord(r *ingress.Rollout) rollout.Record {
	if r.Record.Order != r.Order.ID {
		return rollout.Record{}
	}
	return r.Record
}

// rolloutView is what the status command prints.
type rolloutView struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Order    string `json:"order"`
	Phase    string `json:"phase"`
	Hold     bool   `json:"hold"`
	Reserved uint64 `json:"reserved"`
	// Allowed is the exposure that the requests counted so far allow; nil without settings.
	Allowed   *uint64 `json:"allowed,omitempty"`
	Served    uint64  `json:"served"`
	Bad       uint64  `json:"bad"`
	ElapsedMs int64   `json:"elapsed_ms"`
	WithinMs  int64   `json:"within_ms"`
	Waits     string  `json:"waits"`
}

func runRolloutStatus(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	var gateway *pb.GatewaySettings
	if path := command.String("config"); path != "" {
		loaded, err := settings.Load(path)
		if err != nil {
			return err
		}
		gateway = loaded.GetGateway()
	}
	store, order, err := readOrder(ctx, command)
	if err != nil {
		return err
	}
	defer store.Close()
	view := newRolloutView(&order, gateway)
	if asJSON(command) {
		return printJSON(command, view)
	}
	return printRollout(command, &view)
}

// newRolloutView describes an order; gateway is nil if no settings are known.
func newRolloutView(order *ingress.Rollout, gateway *pb.GatewaySettings) rolloutView {
	stored := storedRecord(order)
	view := rolloutView{
		Service: order.Order.Service, Version: order.Order.Version, Order: strconv.FormatUint(order.Order.ID, 16),
		Phase: stored.Phase.String(), Hold: stored.Hold, Reserved: stored.Reserved, Served: stored.Served, Bad: stored.Bad,
		ElapsedMs: stored.Elapsed.Milliseconds(), WithinMs: order.Order.Within.Milliseconds(), Waits: waitsFor(stored),
	}
	if gateway != nil && gateway.GetRolloutExposeShare() > 0 {
		allowed := uint64(gateway.GetRolloutExposeShare()*float64(stored.Served) + gateway.GetRolloutExposeSlack())
		view.Allowed = &allowed
	}
	return view
}

// waitsFor says what an order waits for, as far as its record tells.
func waitsFor(stored rollout.Record) string {
	switch {
	case stored.Phase.Final():
		return "nothing; the order is finished"
	case stored.Hold:
		return "citrongate rollout resume"
	}
	switch stored.Phase {
	case rollout.Waiting:
		return "an upstream of the version"
	case rollout.Judging:
		return "evidence that the version is no worse than the current one"
	case rollout.Shifting:
		return "the end of the requests in progress at the current version"
	}
	return "the owner of the service's pool to begin; check that gateways have rollout_expose_share"
}

func printRollout(command *cli.Command, v *rolloutView) error {
	t := newTable(command, "SERVICE", "VERSION", "PHASE", "HELD", "EXPOSURE RESERVED", "BAD ANSWERS", "ELAPSED")
	exposure := fmt.Sprintf("%d of %d requests", v.Reserved, v.Served)
	if v.Allowed != nil {
		exposure += fmt.Sprintf(", %d allowed", *v.Allowed)
	}
	elapsed := fmt.Sprintf("%s of %s", seconds(v.ElapsedMs), seconds(v.WithinMs))
	t.row(v.Service, v.Version, v.Phase, yesNo(v.Hold), exposure, strconv.FormatUint(v.Bad, 10), elapsed)
	if err := t.flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(writer(command), "\nwaits for: %s\n", v.Waits)
	return err
}

func seconds(ms int64) string { return fmt.Sprintf("%.1f s", float64(ms)/1000) }
