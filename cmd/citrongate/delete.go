package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/client"
)

func deleteCommand() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete one object",
		ArgsUsage: "KIND NAME",
		Description: `The object is deleted only if it still has the version of --version or, without
it, the version that it had when the command started; otherwise the command exits
with code 4.

Examples:
  citrongate delete route night-batch
  citrongate delete upstream engine-7 --version 12`,
		Flags: append([]cli.Flag{
			&cli.Uint64Flag{Name: "version", Usage: "version that the object must still have"},
		}, adminFlags()...),
		Action: runDelete,
	}
}

func runDelete(ctx context.Context, command *cli.Command) error {
	given, err := checkArguments(command, 2, 2)
	if err != nil {
		return err
	}
	kind, err := findKind(given[0])
	if err != nil {
		return err
	}
	admin, err := newAdmin(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	name := client.Name{Kind: kind, Name: given[1], Version: command.Uint64("version")}
	if name.Version == 0 {
		object, err := admin.Get(ctx, kind, name.Name)
		if err != nil {
			return err
		}
		name.Version = object.GetMeta().GetVersion()
	}
	revision, err := admin.Delete(ctx, name)
	if err != nil {
		return err
	}
	if asJSON(command) {
		return printJSON(command, map[string]any{"revision": revision})
	}
	fmt.Fprintf(writer(command), "%s %s deleted in revision %d\n", kind, name.Name, revision)
	return nil
}
