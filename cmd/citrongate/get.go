package main

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/client"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print objects",
		ArgsUsage: "[KIND [NAME]]",
		Description: `Kinds: Tier, Organisation, RequestKind, Upstream, Route, Operator; in any
case, singular or plural. "citrongate apply" accepts the output of -o json.

Examples:
  citrongate get
  citrongate get upstreams
  citrongate get upstream engine-1 -o json`,
		Flags:  adminFlags(),
		Action: runGet,
	}
}

func runGet(ctx context.Context, command *cli.Command) error {
	given, err := checkArguments(command, 0, 2)
	if err != nil {
		return err
	}
	admin, err := newAdmin(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	list, err := fetchObjects(ctx, admin, given)
	if err != nil {
		return err
	}
	if asJSON(command) {
		return printObjectsJSON(command, list)
	}
	t := newTable(command, "KIND", "NAME", "VERSION", "LABELS", "SPEC")
	for _, object := range list.Objects {
		meta := object.GetMeta()
		t.row(meta.GetKind(), meta.GetName(), strconv.FormatUint(meta.GetVersion(), 10), labelSummary(object), specSummary(object))
	}
	return t.flush()
}

// fetchObjects returns all objects, those of a kind, or one, depending on the
// arguments.
func fetchObjects(ctx context.Context, admin *client.Admin, given []string) (*client.ObjectList, error) {
	if len(given) == 0 {
		return admin.List(ctx, "")
	}
	kind, err := findKind(given[0])
	if err != nil {
		return nil, err
	}
	if len(given) == 1 {
		return admin.List(ctx, kind)
	}
	object, err := admin.Get(ctx, kind, given[1])
	if err != nil {
		return nil, err
	}
	return &client.ObjectList{Objects: []*pb.Object{object}}, nil
}

func printObjectsJSON(command *cli.Command, list *client.ObjectList) error {
	raws := []json.RawMessage{}
	for _, object := range list.Objects {
		raw, err := objectJSON(object)
		if err != nil {
			return err
		}
		raws = append(raws, raw)
	}
	value := map[string]any{"objects": raws}
	if list.Revision != 0 {
		value["revision"] = list.Revision
	}
	return printJSON(command, value)
}
