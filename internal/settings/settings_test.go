package settings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

const minimalSettings = `[instance]
name = entry-1
failure_domain = zone-a
region = region-1
[listen]
caller = 127.0.0.1:8080
admin = 127.0.0.1:8081
peer = 127.0.0.1:8082
[platform]
address = 127.0.0.1:8100
`

// TestDefaults guards against defaults that differ from settings.proto.
func TestDefaults(t *testing.T) {
	s, err := Parse("test.ini", []byte(minimalSettings))
	require.NoError(t, err)
	require.Equal(t, "region-1", s.Instance.Cell, "cell must default to the region")
	require.Equal(t, 2*time.Second, Duration(s.Platform.CallTimeout))
	require.Equal(t, 20.0, s.Platform.CallsPerSecond)
	require.EqualValues(t, 1<<20, s.Limits.MaxBodyBytes)
	require.Equal(t, "info", s.Log.Level)
}

// TestAllProblemsAreReported guards against a validation that stops at the first fault.
func TestAllProblemsAreReported(t *testing.T) {
	source := `region = misplaced
[instance]
name = -bad-
region = region-1
[listen]
caller = localhost:80
admin = 0.0.0.0:8081
peer = 127.0.0.1:0
[platform]
address = 127.0.0.1:8100
call_timeout = 1h
calls_per_second = many
[limits]
max_requests = 3
max_request = 30
[log]
level = loud
[plattform]
address = x
`
	_, err := Parse("test.ini", []byte(source))
	require.True(t, errorx.IsOfType(err, ErrInvalid))
	want := []struct{ section, key, value string }{
		{"instance", "name", "-bad-"},
		{"instance", "failure_domain", ""},
		{"listen", "caller", "localhost:80"},
		{"listen", "admin", "0.0.0.0:8081"},
		{"listen", "peer", "127.0.0.1:0"},
		{"platform", "call_timeout", "1h"},
		{"platform", "calls_per_second", "many"},
		{"limits", "max_requests", "3"},
		{"log", "level", "loud"},
		{"", "region", "misplaced"},
		{"limits", "max_request", "30"},
		{"plattform", "", ""},
	}
	problems := Problems(err)
	require.Len(t, problems, len(want))
	for i, w := range want {
		p := problems[i]
		require.Equal(t, w, struct{ section, key, value string }{p.Section, p.Key, p.Value})
		require.NotEmpty(t, p.Remedy)
		require.Contains(t, err.Error(), p.String())
	}
	require.Contains(t, err.Error(), "a duration such as 500ms or 2s from 50ms to 60s")
}

// TestInvalidValuesAreRejected guards against accepting values that the daemon
// can't use.
func TestInvalidValuesAreRejected(t *testing.T) {
	dir := t.TempDir()
	plain := filepath.Join(dir, "plain.pem")
	require.NoError(t, os.WriteFile(plain, []byte("no certificate"), 0o600))
	cases := []struct{ name, extra, want string }{
		{"repeated key", "[log]\nlevel = info\nlevel = warn\n", "given more than once"},
		{"repeated equal key", "[log]\nlevel = info\nlevel = info\n", "given more than once"},
		{"key without certificate", "[peer]\nkey = " + plain + "\n", "given without certificate"},
		{"missing file", "[peer]\nauthority = /nonexistent\n", "cannot be read"},
		{"directory", "[peer]\nauthority = " + dir + "\n", "not a file"},
		{"authority without certificate", "[peer]\nauthority = " + plain + "\n", "holds no PEM certificate"},
		{"pair without certificate", "[peer]\ncertificate = " + plain + "\nkey = " + plain + "\n", "cannot be used"},
		{"part of mutual TLS", "[peer]\nauthority = " + plain + "\n", "needs all of certificate, key and authority"},
		{"short detection", "[peer]\nping_interval = 1s\ndead_after = 1s\n", "less than two ping intervals"},
		{"bound on all bodies below one", "[limits]\nmax_body_bytes = 2097152\nmax_buffered_bytes = 1048576\n", "less than max_body_bytes"},
		{"rollouts without a gateway", "[gateway]\nrollout_expose_share = 0.1\n", "set mode = on"},
		{"revert sooner than a lost owner is noticed", "[gateway]\nrollout_expose_share = 0.1\nrollout_rollback = 200ms\n", "lower owner_timeout"},
		{"share above all requests", "[gateway]\nrollout_expose_share = 1.1\n", "above the largest allowed value"},
		{"negative slack", "[gateway]\nrollout_expose_slack = -1\n", "below the smallest allowed value"},
		{"bad seed", "[peer]\nseeds = 127.0.0.1:1, nowhere\n", "not an IP address and port"},
		{"not a number", "[platform]\ncalls_per_second = NaN\n", "not a number"},
		{"token instead of its digest", "[bootstrap]\noperator_token_sha256 = secret\n", "not a SHA-256 digest"},
		{"malformed line", "[log]\nlevel\n", "not valid INI"},
		{"child section", "[log.more]\nlevel = info\n", "unknown section"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("test.ini", []byte(minimalSettings+c.extra))
			require.ErrorContains(t, err, c.want)
		})
	}
}

// TestPeerTLSOutsideLoopback guards against unencrypted traffic between instances
// outside the loopback interface.
func TestPeerTLSOutsideLoopback(t *testing.T) {
	source := strings.Replace(minimalSettings, "peer = 127.0.0.1:8082", "peer = 10.0.0.1:8082", 1)
	_, err := Parse("test.ini", []byte(source))
	require.ErrorContains(t, err, "mutual TLS is required")
	require.Len(t, Problems(err), 1)
}

// TestLoadReportsUnreadableFile guards against a file error that does not say how
// to correct it.
func TestLoadReportsUnreadableFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "absent.ini"))
	require.True(t, errorx.IsOfType(err, ErrUnreadable))
	require.ErrorContains(t, err, "remedy")
}

// TestExampleFile guards against an example file that validation rejects.
func TestExampleFile(t *testing.T) {
	_, err := Load("../../examples/entry.ini")
	require.NoError(t, err)
}

// TestReferenceIsCurrent guards against a settings reference that does not match
// settings.proto.
func TestReferenceIsCurrent(t *testing.T) {
	var want bytes.Buffer
	require.NoError(t, WriteReference(&want))
	got, err := os.ReadFile("../../docs/CONFIGURATION.md")
	require.NoError(t, err)
	require.Equal(t, want.String(), string(got), "run make generate")
}

// FuzzParse guards against panics, and against accepted settings that are rejected
// or change when they are written out and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(minimalSettings + "[log]\nlevel = debug\n"))
	f.Add([]byte("[instance]\nname = \"a\"\n[instance\n"))
	f.Add([]byte("[peer]\nseeds = 127.0.0.1:1,[::1]:2\nping_interval = 1h\n"))
	f.Fuzz(func(t *testing.T, source []byte) {
		if bytes.Contains(source, []byte("/")) {
			t.Skip("the result for file names depends on the machine's files")
		}
		first, err := Parse("fuzz.ini", source)
		if err != nil {
			require.NotEmpty(t, Problems(err))
			return
		}
		reparsed, err := Parse("again.ini", renderINI(first.ProtoReflect()))
		require.NoError(t, err)
		require.True(t, proto.Equal(first, reparsed))
	})
}

// TestGatewaySettings guards against a gateway without addresses for readiness
// checks and discovery, and against a revocation time shorter than config_apply,
// which no instance can keep.
func TestGatewaySettings(t *testing.T) {
	const text = `[instance]
name = a
failure_domain = z
region = r
[listen]
caller = 10.0.0.1:1
admin = 10.0.0.1:2
peer = 10.0.0.1:3
%s
[platform]
address = 10.0.0.9:4
[peer]
trust = network
[gateway]
mode = on
revocation = %s
`
	_, err := Parse("test", []byte(fmt.Sprintf(text, "ready = 10.0.0.1:5\ndiscovery = 10.0.0.1:6", "5s")))
	require.NoError(t, err)
	_, err = Parse("test", []byte(fmt.Sprintf(text, "", "1s")))
	require.ErrorContains(t, err, "ready")
	require.ErrorContains(t, err, "discovery")
	require.ErrorContains(t, err, "revocation")
}

// TestAnswerBufferSetting guards against a buffer that leaves the process no memory, and against one
// that cannot be turned off since 0 is taken for the default.
func TestAnswerBufferSetting(t *testing.T) {
	const text = minimalSettings + "[gateway]\nmemory_mb = 200\n%s\n"
	for line, want := range map[string]float64{"": 40, "answer_buffer_mb = 0": 0, "answer_buffer_mb = 80": 80} {
		s, err := Parse("test", fmt.Appendf(nil, text, line))
		require.NoError(t, err)
		require.InDelta(t, want, AnswerBufferMB(s.GetGateway()), 1e-9)
		require.Empty(t, checkAnswerBuffer(s.GetGateway()))
	}
	_, err := Parse("test", fmt.Appendf(nil, text, "answer_buffer_mb = 81\nmode = on"))
	require.ErrorContains(t, err, "at most 80 with memory_mb = 200")
	require.ErrorContains(t, err, "lower it")
}
