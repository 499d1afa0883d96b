package configstate

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/prototext"
	"k8s.io/apimachinery/pkg/labels"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// TestValidateScripts guards against a set with a mistake that is accepted, a
// mistake that hides another, and a message that names no object, field, range
// or remedy.
func TestValidateScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/validate", func(t *testing.T, d *datadriven.TestData) string {
		set := &pb.ConfigSegment{}
		if err := prototext.Unmarshal([]byte(d.Input), set); err != nil {
			d.Fatalf(t, "%v", err)
		}
		var out []string
		for _, p := range Validate(set.Objects) {
			require.NotEmpty(t, p.Object)
			require.NotEmpty(t, p.Field)
			require.NotEmpty(t, p.Allowed)
			require.NotEmpty(t, p.Remedy)
			out = append(out, p.Object+": "+p.Field+": "+p.Found)
		}
		if len(out) == 0 {
			return "ok\n"
		}
		return strings.Join(out, "\n") + "\n"
	})
}

// FuzzParseSelector guards against a selector that panics, exceeds the bounds,
// or changes its meaning when it is written out and parsed again.
func FuzzParseSelector(f *testing.F) {
	for _, seed := range []string{"", "a=b", "a in (b,c),!d", "x>3", "a notin (", "a=b,", strings.Repeat("a,", 40), strings.Repeat("k", 2000), "a/b/c=d", "\xff=\x00"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		selector, err := ParseSelector(text)
		if err != nil {
			return
		}
		requirements, _ := selector.Requirements()
		require.LessOrEqual(t, len(requirements), MaxRequirements)
		require.LessOrEqual(t, len(text), MaxSelectorBytes)
		again, err := labels.Parse(selector.String())
		require.NoError(t, err)
		require.Equal(t, selector.String(), again.String())
	})
}
