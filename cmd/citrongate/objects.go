package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// maxObjectFile is the maximum size of a file of objects in bytes.
const maxObjectFile = 256 << 20

// kinds are the object kinds, in the order in which they are listed.
var kinds = []string{"Tier", "Organisation", "RequestKind", "Upstream", "Route", "Operator"}

// findKind returns the kind that text names, in any case, with or without hyphens,
// in the singular or plural.
func findKind(text string) (string, error) {
	normalised := strings.TrimSuffix(strings.ToLower(strings.ReplaceAll(text, "-", "")), "s")
	for _, kind := range kinds {
		if strings.ToLower(kind) == normalised {
			return kind, nil
		}
	}
	return "", newUsageError("%q is not a kind; the kinds are %s", text, strings.Join(kinds, ", "))
}

// readObjects reads a JSON file that holds one object, an array of objects, or
// {"objects": [...]}. The path "-" stands for standard input.
func readObjects(path string, stdin io.Reader) ([]*pb.Object, error) {
	source := stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, newUsageError("cannot read the objects: %v", err)
		}
		defer file.Close()
		source = file
	}
	text, err := readAtMost(source, maxObjectFile)
	if err != nil {
		return nil, newUsageError("cannot read the objects: %v", err)
	}
	objects, err := parseObjects(text)
	if err != nil {
		return nil, newUsageError("%s: %v", path, err)
	}
	return objects, nil
}

// readAtMost reads everything up to limit bytes; more is an error.
func readAtMost(source io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err == nil && int64(len(text)) > limit {
		return nil, fmt.Errorf("there are more than %d bytes; split them and apply the parts in turn", limit)
	}
	return text, err
}

// parseObjects parses objects. Its error names every object that is not valid, not
// only the first.
func parseObjects(text []byte) ([]*pb.Object, error) {
	raws, err := splitObjects(bytes.TrimSpace(text))
	if err != nil {
		return nil, err
	}
	var objects []*pb.Object
	var faults []error
	for i, raw := range raws {
		object := &pb.Object{}
		if err := protojson.Unmarshal(raw, object); err != nil {
			faults = append(faults, fmt.Errorf("object %d: %w", i+1, err))
			continue
		}
		if _, err := findKind(object.GetMeta().GetKind()); err != nil || object.GetMeta().GetName() == "" {
			faults = append(faults, fmt.Errorf("object %d: meta must have a name and one of the kinds %s", i+1, strings.Join(kinds, ", ")))
			continue
		}
		objects = append(objects, object)
	}
	return objects, errors.Join(faults...)
}

// splitObjects returns the JSON text of each object.
func splitObjects(text []byte) ([]json.RawMessage, error) {
	var raws []json.RawMessage
	if bytes.HasPrefix(text, []byte("[")) {
		return raws, json.Unmarshal(text, &raws)
	}
	var list struct {
		Objects []json.RawMessage `json:"objects"`
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	if list.Objects != nil {
		return list.Objects, nil
	}
	return []json.RawMessage{text}, nil
}

// objectJSON encodes an object as JSON for printing.
func objectJSON(object *pb.Object) (json.RawMessage, error) {
	raw, err := protojson.Marshal(object)
	return json.RawMessage(raw), err
}

// specSummary returns the spec of an object on one line.
func specSummary(object *pb.Object) string {
	message := object.ProtoReflect()
	field := message.WhichOneof(message.Descriptor().Oneofs().ByName(protoreflect.Name("spec")))
	if field == nil {
		return ""
	}
	raw, err := protojson.MarshalOptions{}.Marshal(message.Get(field).Message().Interface())
	if err != nil {
		return err.Error()
	}
	var compact bytes.Buffer
	if json.Compact(&compact, raw) != nil {
		return string(raw)
	}
	return compact.String()
}

// labelSummary returns the labels of an object on one line, or "-" without labels.
func labelSummary(object *pb.Object) string {
	raw, err := json.Marshal(object.GetMeta().GetLabels())
	if err != nil || len(object.GetMeta().GetLabels()) == 0 {
		return "-"
	}
	return string(raw)
}
