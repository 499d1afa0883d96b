package settings

import (
	"fmt"
	"io"
	"strings"
)

const referenceHeader = `# Settings of an instance

<!-- Generated from proto/citrongate/v1/settings.proto by make generate; do not edit. -->

` + "`citrongate serve -c file.ini`" + ` reads an INI file with the sections below.
` + "`citrongate check -c file.ini`" + ` checks a file offline, prints every problem with its remedy and exits 1 if
there is one. Unknown sections and keys are errors. Relative file names are resolved against the working
directory. ` + "`examples/entry.ini`" + ` is a complete file.

Rules across settings: tls_certificate and tls_key are given together and must belong together;
certificate, key and authority of [peer] are given together, and are required unless the peer address is a
loopback address; caller and admin differ; dead_after is at least twice ping_interval;
max_buffered_bytes is at least max_body_bytes; answer_buffer_mb is at most 0.4 of memory_mb.
`

// WriteReference writes the settings reference as Markdown.
func WriteReference(w io.Writer) error {
	var b strings.Builder
	b.WriteString(referenceHeader)
	section := ""
	for _, k := range schema() {
		if k.sectionName() != section {
			section = k.sectionName()
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | allowed | default | meaning |\n| --- | --- | --- | --- |\n", section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.name(), escapeCell(k.allowed()), defaultCell(k), escapeCell(k.rule.GetHelp()))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func defaultCell(k key) string {
	switch {
	case k.required():
		return "required"
	case k.rule.GetDefault() == "":
		return "not set"
	}
	return "`" + k.rule.GetDefault() + "`"
}

func escapeCell(text string) string { return strings.ReplaceAll(text, "|", `\|`) }
