package configstate

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/prototext"
	"k8s.io/apimachinery/pkg/labels"
	"pgregory.net/rapid"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// TestValidateScripts guards against an invalid set that is accepted, a problem
// that hides another, and a message without an object, field, allowed range or
// remedy.
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

// FuzzParseSelector guards against a selector that causes a panic, exceeds the
// bounds, or changes its meaning when it is formatted and parsed again.
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

// TestValidateChangeAgainstWholeSet guards against a change that breaks a
// relation with an object that it does not name, such as a reference to a
// deleted one, and is accepted because only changed objects were checked.
func TestValidateChangeAgainstWholeSet(t *testing.T) {
	hash := func(i int) string { return fmt.Sprintf("%064x", i) }
	draw := func(t *rapid.T) *pb.Object {
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
		n := rapid.IntRange(0, 3).Draw(t, "n")
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			return &pb.Object{Meta: &pb.ObjectMeta{Kind: KindTier, Name: name}, Spec: &pb.Object_Tier{Tier: &pb.TierSpec{Rank: uint32(n)}}}
		case 1:
			return &pb.Object{Meta: &pb.ObjectMeta{Kind: KindRequestKind, Name: name}, Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{Tier: "a", Weight: float64(n - 1)}}}
		case 2:
			return &pb.Object{Meta: &pb.ObjectMeta{Kind: KindOperator, Name: name}, Spec: &pb.Object_Operator{Operator: &pb.OperatorSpec{TokenSha256: []string{hash(n)}}}}
		}
		o := organisation(name, 1)
		o.GetOrganisation().TokenSha256 = []string{hash(n)}
		o.GetOrganisation().AllowedKinds = []string{"a"}
		return o
	}
	rapid.Check(t, func(t *rapid.T) {
		m := New(Config{})
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			var change Change
			change.Puts = rapid.SliceOfNDistinct(rapid.Custom(draw), 0, 3, objectName).Draw(t, "puts")
			if present := m.Current().Objects(); len(present) > 0 && rapid.Bool().Draw(t, "delete") {
				meta := rapid.SampledFrom(present).Draw(t, "object").Meta
				if !slices.ContainsFunc(change.Puts, func(o *pb.Object) bool { return objectName(o) == meta.Kind+"/"+meta.Name }) {
					change.Deletes = []*pb.ObjectMeta{meta}
				}
			}
			r := &pendingChange{change: change, base: &pb.ConfigHead{}}
			p, problems := m.buildPlan(r, m.Current().Revision+1)
			var expected []string
			for _, problem := range Validate(p.segments.objects()) {
				expected = append(expected, problem.String())
			}
			require.Equal(t, expected, problems)
			if len(problems) == 0 && len(p.written) > 0 {
				require.True(t, m.install(p.head, p.segments))
			}
		}
	})
}
