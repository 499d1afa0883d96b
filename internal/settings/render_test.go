package settings

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// renderINI writes settings as INI text, without text settings and optional ones that are not set.
func renderINI(settings protoreflect.Message) []byte {
	var b bytes.Buffer
	for _, k := range schema() {
		section := settings.Get(k.section).Message()
		if section.Has(k.field) || k.field.Kind() != protoreflect.StringKind && !k.field.HasPresence() {
			fmt.Fprintf(&b, "[%s]\n%s = %v\n", k.sectionName(), k.name(), section.Get(k.field).Interface())
		}
	}
	return b.Bytes()
}
