package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/client"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "create or change objects from a JSON file, all of them or none",
		Description: `The file holds one object, an array of objects or {"objects": [...]}, as
"citrongate get -o json" prints them. The instance first validates the resulting
configuration as a whole and changes nothing if it finds a problem. With
--conditional, each object must still have the version that the file states
(0: must not exist), otherwise the command exits with code 4.

Examples:
  citrongate apply -f examples/objects.json --dry-run
  citrongate apply -f examples/objects.json
  citrongate get upstream engine-1 -o json | edit | citrongate apply -f - --conditional`,
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "`FILE` of objects; - for standard input"},
			&cli.BoolFlag{Name: "dry-run", Usage: "only validate the objects"},
			&cli.BoolFlag{Name: "conditional", Usage: "require that objects still have the versions in the file"},
		}, adminFlags()...),
		Action: runApply,
	}
}

func runApply(ctx context.Context, command *cli.Command) error {
	objects, err := readObjects(command.String("file"), os.Stdin)
	if err != nil {
		return err
	}
	admin, err := newAdmin(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	change := client.Change{Objects: objects, Conditional: command.Bool("conditional")}
	revision, err := admin.Apply(ctx, change, command.Bool("dry-run"))
	if err != nil {
		return err
	}
	switch {
	case asJSON(command):
		return printJSON(command, map[string]any{"revision": revision, "objects": len(objects), "dry_run": command.Bool("dry-run")})
	case command.Bool("dry-run"):
		fmt.Fprintf(writer(command), "%d objects are valid; nothing was changed\n", len(objects))
	default:
		fmt.Fprintf(writer(command), "%d objects accepted as revision %d\n", len(objects), revision)
	}
	return nil
}
