// Command account reports, for one day of the users' bench, how the engines' slot time
// was used, how much of the value owed was earned, and an upper bound on the value that
// a scheduler with knowledge of the future could have earned. It reads the bench's site
// file and report, and the logs of all instances.
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
		Usage:     "report how slot time and value were used in a day of the users' bench",
		ArgsUsage: "LOG...",
		Description: `The logs are the bench's output with --log all; the report is the file that it
writes with --report.

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
		return fmt.Errorf("cannot read the site file: %w; pass a site file of the bench with --site", err)
	}
	if s.engineService() == nil {
		return fmt.Errorf("the site %s has no model engines, so there is no slot time to report on", command.String("site"))
	}
	r, err := readReport(command.String("report"))
	if err != nil {
		return fmt.Errorf("cannot read the report: %w; pass the file that the bench wrote with --report", err)
	}
	var logs account.Collector
	for _, name := range command.Args().Slice() {
		if err := readLog(&logs, name); err != nil {
			return fmt.Errorf("cannot read the log %s: %w", name, err)
		}
	}
	attempts := logs.Attempts()
	if len(attempts) == 0 {
		return fmt.Errorf("the logs contain no request; pass the output of the bench with --log all")
	}
	writeReport(os.Stdout, day{site: s, report: r, attempts: attempts})
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
