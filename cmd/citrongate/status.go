package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/adminwire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the state of an instance, and of the other instances and upstreams as it sees them",
		Description: `Examples:
  citrongate status
  citrongate status --admin 10.0.0.7:8081 -o json`,
		Flags:  adminFlags(),
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, command *cli.Command) error {
	admin, err := newAdmin(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	status, raw, err := admin.Status(ctx)
	if err != nil {
		return err
	}
	if asJSON(command) {
		return printRaw(command, raw)
	}
	return printStatus(command, status)
}

func printStatus(command *cli.Command, status *adminwire.Status) error {
	fmt.Fprintf(writer(command), "instance %s (%s) in %s, cell %s: ready %s, draining %s, store available %s, configuration revision %d\n\n",
		status.Name, status.Incarnation, status.FailureDomain, status.Cell,
		yesNo(status.Ready), yesNo(status.Draining), yesNo(status.StoreAvailable), status.ConfigRevision)
	if status.NotReadyReason != "" {
		fmt.Fprintf(writer(command), "not ready: %s\n\n", status.NotReadyReason)
	}
	instances := newTable(command, "INCARNATION", "STATE", "FAILURE DOMAIN", "CALLERS", "ADMIN", "REVISION")
	for _, i := range status.Instances {
		instances.row(i.Incarnation, i.State, i.FailureDomain, i.CallerAddress, i.AdminAddress, strconv.FormatUint(i.ConfigRevision, 10))
	}
	if err := instances.flush(); err != nil {
		return err
	}
	fmt.Fprintln(writer(command))
	if err := printUpstreams(command, status.Upstreams); err != nil {
		return err
	}
	fmt.Fprintln(writer(command))
	tiers := newTable(command, "TIER", "WAITING", "IN FLIGHT")
	for _, t := range status.Tiers {
		tiers.row(fmt.Sprint(t.Tier), fmt.Sprint(t.Waiting), fmt.Sprint(t.InFlight))
	}
	if err := tiers.flush(); err != nil {
		return err
	}
	return printCounters(command, status.Counters)
}

func printUpstreams(command *cli.Command, upstreams []adminwire.UpstreamStatus) error {
	t := newTable(command, "UPSTREAM", "STATE", "LIMIT", "IN FLIGHT", "TTFT MS", "INTER-TOKEN MS", "STRAGGLER")
	for _, u := range upstreams {
		t.row(u.Name, u.State, fmt.Sprint(u.Limit), fmt.Sprint(u.InFlight),
			fmt.Sprintf("%.0f", u.TTFTMs), fmt.Sprintf("%.1f", u.InterTokenMs), yesNo(u.Straggler))
	}
	return t.flush()
}

func printCounters(command *cli.Command, counters []adminwire.CounterStatus) error {
	if len(counters) == 0 {
		return nil
	}
	fmt.Fprintln(writer(command))
	t := newTable(command, "COUNTER", "REASON", "VALUE")
	for _, c := range counters {
		t.row(c.Name, c.Reason, strconv.FormatInt(c.Value, 10))
	}
	return t.flush()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// firstNonEmpty returns the first text that is not empty.
func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}
