// Package settings reads the INI settings of an instance into the generated
// Settings message. Keys, defaults, ranges and formats come from the rules in
// settings.proto. All faults of a file are reported together.
package settings

import (
	"os"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Load reads and validates the settings file at path. The error is of type
// ErrUnreadable, or of type ErrInvalid with all faults available through Problems.
// Relative file names in the settings are resolved against the working
// directory.
func Load(path string) (*pb.Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, ErrUnreadable.New("cannot read settings file %q: %v; remedy: name an existing file with -c", path, err)
	}
	if info.Size() > MaxFileBytes {
		return nil, ErrUnreadable.New("settings file %q has %d bytes, more than %d; remedy: name an INI file", path, info.Size(), MaxFileBytes)
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrUnreadable.New("cannot read settings file %q: %v; remedy: make the file readable for this user", path, err)
	}
	return Parse(path, source)
}

// Parse parses and validates settings given as INI text. name is used in error messages.
func Parse(name string, source []byte) (*pb.Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
	}, source)
	if err != nil {
		return nil, newInvalidError(name, []Problem{{
			What:   "the file is not valid INI: " + err.Error(),
			Remedy: "write each setting as key = value below a [section] line",
		}})
	}
	settings, problems := parseKnownKeys(file)
	problems = append(problems, unknownKeys(file)...)
	problems = append(problems, checkAcrossSettings(settings)...)
	if len(problems) > 0 {
		return nil, newInvalidError(name, problems)
	}
	if settings.Instance.Cell == "" {
		settings.Instance.Cell = settings.Instance.Region
	}
	return settings, nil
}

// Duration parses the text of a duration setting. Settings returned by Load and
// Parse hold only valid durations; for any other text it returns 0.
func Duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// parseKnownKeys sets every field of the schema that has a valid value or a
// default, and returns the problems of the others.
func parseKnownKeys(file *ini.File) (*pb.Settings, []Problem) {
	settings := &pb.Settings{}
	var problems []Problem
	for _, k := range schema() {
		text, problem := lookup(file, k)
		if problem != nil {
			problems = append(problems, *problem)
			continue
		}
		message := settings.ProtoReflect().Mutable(k.section).Message()
		if text == "" {
			continue
		}
		value, problem := parseValue(k, text)
		if problem != nil {
			problems = append(problems, *problem)
			continue
		}
		message.Set(k.field, value)
	}
	return settings, problems
}

// lookup returns the text of a setting, its default if the file does not set it,
// or "" if it is optional and has no default. An empty value counts as not set.
func lookup(file *ini.File, k key) (string, *Problem) {
	values := valuesOf(file, k)
	if len(values) > 1 {
		return "", &Problem{
			Section: k.sectionName(), Key: k.name(), What: "the key is given more than once",
			Remedy: "keep one of the lines",
		}
	}
	if len(values) == 1 && values[0] != "" {
		return values[0], nil
	}
	if k.required() {
		return "", &Problem{
			Section: k.sectionName(), Key: k.name(), What: "the setting is missing",
			Allowed: k.allowed(), Remedy: "add a line " + k.name() + " = ... below [" + k.sectionName() + "]",
		}
	}
	return k.rule.GetDefault(), nil
}

// valuesOf returns all values that the file gives for a setting, several if its
// key is repeated.
func valuesOf(file *ini.File, k key) []string {
	if !file.HasSection(k.sectionName()) {
		return nil
	}
	section := file.Section(k.sectionName())
	if !section.HasKey(k.name()) {
		return nil
	}
	return section.Key(k.name()).ValueWithShadows()
}

// unknownKeys reports sections and keys that are not in the schema.
func unknownKeys(file *ini.File) []Problem {
	fields := (&pb.Settings{}).ProtoReflect().Descriptor().Fields()
	var problems []Problem
	for _, section := range file.Sections() {
		known := fields.ByName(protoreflect.Name(section.Name()))
		if known == nil {
			problems = append(problems, unknownSection(section)...)
			continue
		}
		for _, name := range section.KeyStrings() {
			if known.Message().Fields().ByName(protoreflect.Name(name)) == nil {
				problems = append(problems, Problem{
					Section: section.Name(), Key: name, Value: section.Key(name).Value(), What: "unknown key",
					Allowed: fieldNames(known.Message()), Remedy: "correct the spelling or remove the line",
				})
			}
		}
	}
	return problems
}

func unknownSection(section *ini.Section) []Problem {
	if section.Name() != ini.DefaultSection {
		return []Problem{{
			Section: section.Name(), What: "unknown section",
			Allowed: fieldNames((&pb.Settings{}).ProtoReflect().Descriptor()),
			Remedy:  "correct the spelling or remove the section",
		}}
	}
	var problems []Problem
	for _, name := range section.KeyStrings() {
		problems = append(problems, Problem{
			Key: name, Value: section.Key(name).Value(), What: "the key stands before any section",
			Remedy: "move the line below its [section] line",
		})
	}
	return problems
}
