package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/client"
)

// Exit codes of all commands.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitNotReached = 3
	exitConflict   = 4
)

var (
	commandErrors = errorx.NewNamespace("command")
	usageError    = commandErrors.NewType("usage")
)

// newUsageError returns an error for wrong arguments or flags, which makes the
// command exit with exitUsage.
func newUsageError(format string, args ...any) error { return usageError.New(format, args...) }

// run runs the command line, prints the error if there is one and returns the exit
// code.
func run(ctx context.Context, app *cli.Command, args []string) int {
	err := app.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errWriter(app), "citrongate: %s\n", message(err))
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case errorx.IsOfType(err, usageError):
		return exitUsage
	case errorx.IsOfType(err, client.NotReached):
		return exitNotReached
	case errorx.IsOfType(err, client.Conflict):
		return exitConflict
	}
	return exitFailed
}

// message returns the text of an error without the name of its type.
func message(err error) string {
	typed := errorx.Cast(err)
	if typed == nil {
		return err.Error()
	}
	if typed.Cause() != nil {
		return fmt.Sprintf("%s: %v", typed.Message(), typed.Cause())
	}
	return typed.Message()
}

// exitHelp is added to the help of each command.
const exitHelp = "Exit codes: 0 success, 1 failed or refused, 2 wrong usage, 3 no answer from an instance or the store, 4 conflict."

// prepare configures a command and its subcommands: they report wrong usage in the
// same way, list the exit codes in their help, and leave it to run to print errors
// and to exit.
func prepare(command *cli.Command) {
	command.Description = strings.TrimSpace(command.Description + "\n\n" + exitHelp)
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return newUsageError("%v; remedy: citrongate %s --help shows the flags", err, command.Name)
	}
	for _, child := range command.Commands {
		prepare(child)
	}
}
