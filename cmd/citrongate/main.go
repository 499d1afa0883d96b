// Command citrongate runs an entry instance, and provides the commands for
// operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/version"
)

const rootDescription = `The bearer token is taken from --token, from the file of --token-file, or from
CITRONGATE_TOKEN or CITRONGATE_TOKEN_FILE.

Examples:
  citrongate check -c examples/entry.ini
  citrongate serve -c examples/entry.ini
  citrongate apply -f examples/objects.json
  citrongate status
  citrongate trace 9c41d07be2a35f68 entry-1.log
  citrongate call --kind chat --model small --message "hello"`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, newApp(), os.Args)
	stop()
	os.Exit(code)
}

// newApp returns the root command.
func newApp() *cli.Command {
	app := &cli.Command{
		Name:                  "citrongate",
		Usage:                 "request scheduler for heterogeneous engines",
		Description:           rootDescription,
		Version:               version.Version,
		EnableShellCompletion: true,
		Suggest:               true,
		Action:                rootAction,
		Commands: []*cli.Command{
			serveCommand(),
			checkCommand(),
			applyCommand(),
			getCommand(),
			deleteCommand(),
			statusCommand(),
			explainCommand(),
			orderCommand(),
			drainCommand(),
			rolloutCommand(),
			callCommand(),
			traceCommand(),
			keysCommand(),
			versionCommand(),
		},
	}
	prepare(app)
	return app
}

func rootAction(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return newUsageError("unknown command %q; remedy: citrongate --help lists the commands", command.Args().First())
	}
	return cli.ShowAppHelp(command)
}
