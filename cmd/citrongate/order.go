package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func orderCommand() *cli.Command {
	return &cli.Command{
		Name:      "order",
		Usage:     "give an upstream an order, for example to load a model",
		ArgsUsage: "UPSTREAM VERB [ARGUMENT]",
		Description: `The instance takes the upstream's lease first, so that orders of several
operators do not overtake each other. That lasts up to 20 s if another instance
gave the last order. Exit code 4 means that a later order was given meanwhile.

Example:
  citrongate order engine-7 load_model small-v2`,
		Flags:  adminFlags(),
		Action: runOrder,
	}
}

func runOrder(ctx context.Context, command *cli.Command) error {
	given, err := arguments(command, 2, 3)
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
