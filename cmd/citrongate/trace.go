package main

import (
	"context"
	"io"
	"os"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/trace"
)

// standardInput names the standard input among files.
const standardInput = "-"

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "tell the life of one request from the logs of gateways",
		ArgsUsage: "REQUEST-ID [FILE...]",
		Description: `Reads the logs of one or several gateways, from files or from the standard input,
and prints what became of the request, in order, with the cause of its end in the
last line. Lines may be torn, carry a prefix, or come from other programs. Exits
with 1 if no line names the request.

Examples:
  citrongate trace 9c41d07be2a35f68 entry-1.log entry-2.log
  zcat *.log.gz | citrongate trace 9c41d07be2a35f68`,
		Action: runTrace,
	}
}

func runTrace(_ context.Context, command *cli.Command) error {
	id := command.Args().First()
	if id == "" {
		return usage("no request id is given; name the id that the caller sent with its attempt")
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
	life := collector.Life()
	if err := life.Write(writer(command)); err != nil {
		return err
	}
	if len(life.Entries) == 0 && life.Torn == 0 {
		return errorx.IllegalArgument.New("no line names the request %s; check the id, and give the logs of all instances", id)
	}
	return nil
}

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
