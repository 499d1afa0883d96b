package settings

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// render writes every setting as INI text, except texts that are not set.
func render(settings protoreflect.Message) []byte {
	var b bytes.Buffer
	for _, k := range schema() {
		section := settings.Get(k.section).Message()
		if section.Has(k.field) || k.field.Kind() != protoreflect.StringKind {
			fmt.Fprintf(&b, "[%s]\n%s = %v\n", k.sectionName(), k.name(), section.Get(k.field).Interface())
		}
	}
	return b.Bytes()
}
