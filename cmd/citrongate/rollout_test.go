package main

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	standinplatform "github.com/citrongate/citrongate/internal/standin/platform"
	"github.com/citrongate/citrongate/platform/standin"
)

func startOrderStore(t *testing.T) (*standin.Store, string) {
	fake := standin.NewStore(standinplatform.New(standinplatform.Config{}))
	server := httptest.NewServer(fake.Handler())
	t.Cleanup(server.Close)
	require.NoError(t, fake.Put("rollouts", "checkout", map[string]any{"service": "checkout", "to": "v2", "overS": 12}))
	return fake, strings.TrimPrefix(server.URL, "http://")
}

// storedOrder returns the identity of the order as the status command prints it.
func storedOrder(t *testing.T, address string) string {
	code, out, errOut := runApp(t, "rollout", "status", "checkout", "--store", address, "-o", "json")
	require.Equal(t, exitOK, code, errOut)
	var view rolloutView
	require.NoError(t, json.Unmarshal([]byte(out), &view))
	return view.Order
}

const gatewaySettings = `[instance]
name = a
failure_domain = z
region = r
[listen]
caller = 127.0.0.1:1
admin = 127.0.0.1:2
peer = 127.0.0.1:3
ready = 127.0.0.1:4
discovery = 127.0.0.1:5
[platform]
address = 127.0.0.1:6
[gateway]
mode = on
rollout_expose_share = 0.1
rollout_expose_slack = 50
`

// TestRolloutStatus guards against a status that shows the record of an earlier order, or not
// what an operator needs to decide: phase, exposure, bad answers, time and what is waited for.
func TestRolloutStatus(t *testing.T) {
	fake, address := startOrderStore(t)
	code, out, _ := runApp(t, "rollout", "status", "checkout", "--store", address)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "none")
	require.Contains(t, out, "to begin")
	status := `{"state":"running","to":"v2","order":"ORDER","phase":"judging","hold":false,"reserved":120,"served":1000,"bad":3,"elapsedMs":2500}`
	fake.PutStatus("rollouts", "checkout", []byte(strings.Replace(status, "ORDER", "5", 1)))
	_, out, _ = runApp(t, "rollout", "status", "checkout", "--store", address)
	require.NotContains(t, out, "judging")
	fake.PutStatus("rollouts", "checkout", []byte(strings.Replace(status, "ORDER", storedOrder(t, address), 1)))
	file := filepath.Join(t.TempDir(), "entry.ini")
	require.NoError(t, os.WriteFile(file, []byte(gatewaySettings), 0o600))
	code, out, errOut := runApp(t, "rollout", "status", "checkout", "--store", address, "-c", file)
	require.Equal(t, exitOK, code, errOut)
	for _, text := range []string{"checkout", "v2", "judging", "120 of 1000 requests, 150 allowed", "2.5 s of 12.0 s", "waits for: evidence"} {
		require.Contains(t, out, text)
	}
	fake.PutStatus("rollouts", "checkout", []byte(strings.Replace(strings.Replace(status, "ORDER", storedOrder(t, address), 1), `"hold":false`, `"hold":true`, 1)))
	_, out, _ = runApp(t, "rollout", "status", "checkout", "--store", address)
	require.Contains(t, out, "rollout resume")
}

// TestRolloutCommands guards against a command that is stored for another order or without
// effect, and against exit codes by which a script would take a failure for a success.
func TestRolloutCommands(t *testing.T) {
	fake, address := startOrderStore(t)
	order := storedOrder(t, address)
	stored := func() map[string]string {
		objects := fake.Objects("citrongate-rollouts")
		require.Len(t, objects, 1)
		var spec map[string]string
		require.NoError(t, json.Unmarshal(objects["checkout"], &spec))
		return spec
	}
	for _, name := range []string{"hold", "resume", "complete", "revert"} {
		code, _, errOut := runApp(t, "rollout", name, "checkout", "--store", address)
		require.Equal(t, exitOK, code, errOut)
		require.Equal(t, map[string]string{"order": order, "command": name}, stored())
	}
	fake.PutStatus("rollouts", "checkout", []byte(`{"state":"reverted","to":"v2","order":"`+order+`","phase":"reverted"}`))
	for _, c := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"hold", "checkout", "--store", address}, exitFailed, "is final"},
		{[]string{"hold", "other", "--store", address}, exitFailed, "no order"},
		{[]string{"status", "other", "--store", address}, exitFailed, "no order"},
		{[]string{"status", "checkout", "--store", "127.0.0.1:1"}, exitNotReached, "check --store"},
		{[]string{"revert", "--store", address}, exitUsage, "SERVICE"},
		{[]string{"revert", "checkout"}, exitUsage, "store"},
		{[]string{"launch", "checkout"}, exitUsage, "subcommand"},
	} {
		code, out, errOut := runApp(t, append([]string{"rollout"}, c.args...)...)
		require.Equal(t, c.code, code, "%v: %s%s", c.args, out, errOut)
		require.Contains(t, out+errOut, c.text, "%v", c.args)
	}
	require.NoError(t, fake.Put("rollouts", "checkout", "no order"))
	code, _, errOut := runApp(t, "rollout", "revert", "checkout", "--store", address)
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, "not carried out")
}
