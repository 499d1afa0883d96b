package settings

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// key describes one setting: its section, its field in the section's message and
// the rule given in settings.proto.
type key struct {
	section protoreflect.FieldDescriptor
	field   protoreflect.FieldDescriptor
	rule    *pb.Rule
}

// schema returns all settings, in the order of settings.proto.
func schema() []key {
	var keys []key
	sections := (&pb.Settings{}).ProtoReflect().Descriptor().Fields()
	for i := range sections.Len() {
		section := sections.Get(i)
		fields := section.Message().Fields()
		for j := range fields.Len() {
			field := fields.Get(j)
			rule, _ := proto.GetExtension(field.Options(), pb.E_Rule).(*pb.Rule)
			keys = append(keys, key{section: section, field: field, rule: rule})
		}
	}
	return keys
}

func (k key) sectionName() string { return string(k.section.Name()) }
func (k key) name() string        { return string(k.field.Name()) }

// required reports whether a file must contain the setting: it has no default and
// is not optional.
func (k key) required() bool {
	return k.rule.GetDefault() == "" && !k.rule.GetOptional()
}

// allowed describes the accepted values, for messages and the reference.
func (k key) allowed() string {
	what := k.kindName()
	if k.rule.GetMin() != "" || k.rule.GetMax() != "" {
		return fmt.Sprintf("%s from %s to %s", what, k.rule.GetMin(), k.rule.GetMax())
	}
	return what
}

func (k key) kindName() string {
	if name, ok := formatNames[k.rule.GetFormat()]; ok {
		return name
	}
	if k.rule.GetFormat() != "" {
		return "one of " + k.rule.GetFormat()
	}
	switch k.field.Kind() {
	case protoreflect.Int64Kind:
		return "an integer"
	case protoreflect.DoubleKind:
		return "a number"
	default:
		return "text"
	}
}

var formatNames = map[string]string{
	"address":   "an IP address and port, such as 127.0.0.1:8080",
	"addresses": "IP addresses and ports, separated by commas",
	"file":      "the path of a readable file",
	"name":      "1 to 63 letters, digits, '-', '_' or '.', starting and ending with a letter or digit",
	"duration":  "a duration such as 500ms or 2s",
	"sha256":    "64 lower-case hexadecimal digits",
}
