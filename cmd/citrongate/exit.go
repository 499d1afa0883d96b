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

// usage returns an error about wrong arguments.
func usage(format string, args ...any) error { return usageError.New(format, args...) }

// run runs a command, prints its error and returns the exit code.
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

const exitHelp = "Exit codes: 0 done, 1 failed or refused, 2 wrong usage, 3 not reached, 4 conflict."

// prepare makes all commands report wrong usage in the same way and name the
// exit codes in their help, and leaves printing errors and exiting to run.
func prepare(command *cli.Command) {
	command.Description = strings.TrimSpace(command.Description + "\n\n" + exitHelp)
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usage("%v; remedy: citrongate %s --help shows the flags", err, command.Name)
	}
	for _, child := range command.Commands {
		prepare(child)
	}
}
