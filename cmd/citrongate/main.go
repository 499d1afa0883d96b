// Command citrongate runs an entry instance and holds the operator's and
// caller's commands.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/version"
)

func main() {
	app := &cli.Command{
		Name:                  "citrongate",
		Usage:                 "request scheduler for unlike engines",
		Version:               version.Version,
		EnableShellCompletion: true,
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
