package main

import (
	"context"
	"fmt"
	"runtime"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/version"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, command *cli.Command) error {
			fmt.Fprintf(writer(command), "citrongate %s %s\n", version.Version, runtime.Version())
			return nil
		},
	}
}
