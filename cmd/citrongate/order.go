package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func orderCommand() *cli.Command {
	return &cli.Command{
		Name:      "order",
		Usage:     "send an order to an upstream, for example to load a model",
		ArgsUsage: "UPSTREAM VERB [ARGUMENT]",
		Description: `The instance first acquires the lease of the upstream, so that orders of several
operators cannot overtake each other. This takes up to 20 s if another instance
sent the last order. Exit code 4 means that a later order was sent meanwhile.

Example:
  citrongate order engine-7 load_model small-v2`,
		Flags:  adminFlags(),
		Action: runOrder,
	}
}

func runOrder(ctx context.Context, command *cli.Command) error {
	given, err := checkArguments(command, 2, 3)
	if err != nil {
		return err
	}
	admin, err := newAdmin(command)
	if err != nil {
		return err
	}
	argument := ""
	if len(given) == 3 {
		argument = given[2]
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	if err := admin.Order(ctx, given[0], given[1], argument); err != nil {
		return err
	}
	fmt.Fprintf(writer(command), "%s has carried out %s %s\n", given[0], given[1], argument)
	return nil
}
