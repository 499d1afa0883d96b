package main

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file offline and print every problem",
		Description: `Exits 0 if the file can be used and 1 if not.

Example:
  citrongate check -c examples/entry.ini`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Required: true, Usage: "settings `FILE`"},
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, command *cli.Command) error {
	path := command.String("config")
	loaded, err := settings.Load(path)
	if err == nil {
		fmt.Fprintf(writer(command), "%s: ok (instance %s, cell %s)\n", path, loaded.Instance.Name, loaded.Instance.Cell)
		return nil
	}
	if !errorx.IsOfType(err, settings.ErrInvalid) {
		return err
	}
	problems := settings.Problems(err)
	for _, problem := range problems {
		fmt.Fprintln(writer(command), problem)
	}
	return errorx.IllegalFormat.New("%s: %d problems", path, len(problems))
}
