package main

import (
	"context"
	"fmt"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/adminwire"
	"github.com/citrongate/citrongate/internal/client"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show to which upstreams a request could go, and why not to others",
		Description: `Examples:
  citrongate explain --kind chat --organisation desk --model small
  citrongate explain --kind book --organisation desk --label region=west`,
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "kind", Required: true, Usage: "request `KIND`"},
			&cli.StringFlag{Name: "organisation", Usage: "`NAME` of the organisation"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model, for model calls"},
			&cli.StringSliceFlag{Name: "label", Usage: "`KEY=VALUE` of the caller; may be repeated"},
		}, adminFlags()...),
		Action: runExplain,
	}
}

func runExplain(ctx context.Context, command *cli.Command) error {
	labels, err := parseLabels(command.StringSlice("label"))
	if err != nil {
		return err
	}
	admin, err := newAdmin(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	query := url.Values{"kind": {command.String("kind")}}
	for _, name := range []string{"organisation", "model"} {
		if value := command.String(name); value != "" {
			query.Set(name, value)
		}
	}
	if len(labels) > 0 {
		query.Set("labels", client.FormatLabels(labels))
	}
	explanation, raw, err := admin.Explain(ctx, query)
	if err != nil {
		return err
	}
	if asJSON(command) {
		return printRaw(command, raw)
	}
	return printExplanation(command, explanation)
}

func printExplanation(command *cli.Command, e *adminwire.Explanation) error {
	for _, step := range e.Steps {
		fmt.Fprintln(writer(command), step)
	}
	fmt.Fprintf(writer(command), "route %s, tier %s, pool %s, owner %s\n\n", firstNonEmpty(e.Route, "-"), firstNonEmpty(e.Tier, "-"), firstNonEmpty(e.Pool, "-"), firstNonEmpty(e.Owner, "-"))
	t := newTable(command, "UPSTREAM", "ELIGIBLE", "WHY")
	for _, u := range e.Upstreams {
		t.row(u.Name, yesNo(u.Eligible), u.Why)
	}
	return t.flush()
}
