package storetest

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// mutant is a fault inserted into one source file; the named test must detect it.
type mutant struct {
	name, pkg, file, test string
	// old must occur exactly once in the file; it is replaced by new.
	old, new string
}

var mutants = []mutant{
	{"change ignores the named versions", "configstate", "change.go", "TestMachineAgainstModel",
		"if r.change.Conditional {", "if false {"},
	{"refused head update counts as accepted", "configstate", "change.go", "TestMachineAgainstModel",
		"case store.OK:\n\t\t\tm.accepted(now, r, r.plan.head.Revision)\n\t\tcase store.Conflict, store.NotFound:",
		"case store.OK, store.Conflict:\n\t\t\tm.accepted(now, r, r.plan.head.Revision)\n\t\tcase store.NotFound:"},
	{"lost head update is not read back", "configstate", "change.go", "TestLostHeadUpdate",
		"r.inDoubt = true", "r.inDoubt = false"},
	{"segment of another writer is taken for its own", "configstate", "change.go", "TestMachineAgainstModel",
		"m.segmentDone(now, r, &r.plan.taken)", "m.segmentDone(now, r, nil)"},
	{"lower revision is applied", "configstate", "machine.go", "TestMachineAgainstModel",
		"if head.GetRevision() <= m.current.Revision {\n\t\treturn true", "if head.GetRevision() == m.current.Revision {\n\t\treturn true"},
	{"incomplete set is applied", "configstate", "catchup.go", "TestIncompleteHeadIsNotApplied",
		"complete = false", "got[i] = &pb.ConfigSegment{Index: uint32(i), Revision: head.SegmentRevisions[i]}"},
	{"refused claim counts as written", "binding", "bucket.go", "TestAtMostOnce",
		"switch r.Status {\n\tcase store.OK:\n\t\tb.backoff", "switch r.Status {\n\tcase store.OK, store.Conflict:\n\t\tb.backoff"},
	{"lost claim is not read back", "binding", "bucket.go", "TestAtMostOnce",
		"case store.Unknown:\n", "case store.Unknown:\n\t\tc.confirmClaims(b, w.claims)\n"},
	{"claim runs although its removal was sent", "binding", "compose.go", "TestAtMostOnce",
		"rec.claim.confirmed = false", "rec.claim.confirmed = true"},
	{"request digest is ignored", "binding", "record.go", "TestAtMostOnce",
		"if rec.request != request {", "if false {"},
	{"organisations share keys", "binding", "binding.go", "TestAtMostOnce",
		"return digestOf(organisation, []byte(key))", "return digestOf(\"\", []byte(key))"},
	{"margin is ignored", "lease", "state.go", "TestMarginCoversOrdersOnTheWire",
		"sendBy -= m.margin()", "sendBy -= 0"},
	{"lease counts from the answer", "lease", "state.go", "TestOneOrdererAtATime",
		"m.confirmWrite(l, a)\n\t\tcase store.Unknown:", "a.startedAt = now\n\t\t\tm.confirmWrite(l, a)\n\t\tcase store.Unknown:"},
	{"taker does not wait", "lease", "state.go", "TestOneOrdererAtATime",
		"return l.unchangedSince + max(duration, cfg.Duration)", "return l.unchangedSince + 0*max(duration, cfg.Duration)"},
	{"fencing number does not grow", "lease", "state.go", "TestOneOrdererAtATime",
		"next.FencingNumber++", "next.FencingNumber += 0"},
}

// TestMutantsAreCaught guards against tests of configstate, binding and lease that do
// not detect faults in the code. Each mutant is compiled by means of an overlay.
func TestMutantsAreCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("compiles each mutant")
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			output, failed := runMutant(t, m)
			require.True(t, failed, "mutant not caught:\n%s", output)
			require.Contains(t, output, "--- FAIL: "+m.test, "the test must run and fail; the mutant must compile")
		})
	}
}

func runMutant(t *testing.T, m mutant) (output string, failed bool) {
	path, err := filepath.Abs(filepath.Join("..", "..", m.pkg, m.file))
	require.NoError(t, err)
	source, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(string(source), m.old), "the mutated text must occur once")
	dir := t.TempDir()
	changed := filepath.Join(dir, m.file)
	require.NoError(t, os.WriteFile(changed, []byte(strings.Replace(string(source), m.old, m.new, 1)), 0o600))
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	require.NoError(t, err)
	overlayFile := filepath.Join(dir, "overlay.json")
	require.NoError(t, os.WriteFile(overlayFile, overlay, 0o600))
	cmd := exec.Command("go", "test", "-overlay", overlayFile, "-run", "^"+m.test+"$", "../../"+m.pkg,
		"-rapid.seed=1", "-rapid.checks=20000", "-rapid.nofailfile", "-rapid.shrinktime=1ms")
	var buffer bytes.Buffer
	cmd.Stdout, cmd.Stderr = &buffer, &buffer
	err = cmd.Run()
	return buffer.String(), err != nil
}
