// Command account tells, for one day of the users' bench, what became of the
// time of the engines' places and of the worth that was owed, and how much of
// it a scheduler that knows the future could have earned. It reads the bench's
// site file and report, and the logs of all instances.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/account"
)

func main() {
	command := &cli.Command{
		Name:      "account",
		Usage:     "tell where the worth of a day of the users' bench goes",
		ArgsUsage: "LOG...",
		Description: `The logs are what the bench prints with --log all, the report is written with
--report.

Example:
  fleetbench run site.toml scale-1 --log all --report day.json --why accounting >day.log
  go run ./internal/simtest/cmd/account --site site.toml --report day.json day.log`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Usage: "site `FILE` of the bench", Required: true},
			&cli.StringFlag{Name: "report", Usage: "report `FILE` of the day", Required: true},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "account:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, command *cli.Command) error {
	s, err := readSite(command.String("site"))
	if err != nil {
		return fmt.Errorf("cannot read the site file: %w; name one of the bench", err)
	}
	if s.engines() == nil {
		return fmt.Errorf("the site %s has no model engines; there is nothing to account for", command.String("site"))
	}
	r, err := readReport(command.String("report"))
	if err != nil {
		return fmt.Errorf("cannot read the report: %w; have the bench write it with --report", err)
	}
	var logs account.Collector
	for _, name := range command.Args().Slice() {
		if err := readLog(&logs, name); err != nil {
			return fmt.Errorf("cannot read the log %s: %w", name, err)
		}
	}
	attempts := logs.Attempts()
	if len(attempts) == 0 {
		return fmt.Errorf("the logs name no request; give what the bench prints with --log all")
	}
	write(os.Stdout, day{site: s, report: r, attempts: attempts})
	return nil
}

func readLog(logs *account.Collector, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return logs.Read(file)
}
