package main

import (
	"context"
	"io"
	"os"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/trace"
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "show the lifecycle of one request from the logs of gateways",
		ArgsUsage: "REQUEST-ID [FILE...]",
		Description: `Reads the logs of one or several gateways, from files or from standard input, and
prints the events of the request in order, with the cause of its end in the last
line. Lines may be truncated, have a prefix, or come from other programs. Exits
with code 1 if no line names the request.

Examples:
  citrongate trace 9c41d07be2a35f68 entry-1.log entry-2.log
  zcat *.log.gz | citrongate trace 9c41d07be2a35f68`,
		Action: runTrace,
	}
}

func runTrace(_ context.Context, command *cli.Command) error {
	id := command.Args().First()
	if id == "" {
		return newUsageError("the request id is missing; give the id that the caller sent with its attempt")
	}
	collector := trace.NewCollector(id)
	files := command.Args().Tail()
	if len(files) == 0 {
		files = []string{standardInput}
	}
	for _, name := range files {
		if err := readLog(collector, name, command.Root().Reader); err != nil {
			return errorx.Decorate(err, "cannot read the log %s", name)
		}
	}
	history := collector.History()
	if err := history.Write(writer(command)); err != nil {
		return err
	}
	if len(history.Entries) == 0 && history.Torn == 0 {
		return errorx.IllegalArgument.New("no line names the request %s; check the id and give the logs of all instances", id)
	}
	return nil
}

// readLog reads one log file, or input for the name of standard input.
func readLog(collector *trace.Collector, name string, input io.Reader) error {
	if name == standardInput {
		if input == nil {
			input = os.Stdin
		}
		return collector.Read(input)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return collector.Read(file)
}
