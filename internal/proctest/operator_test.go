package proctest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/client"
	"github.com/citrongate/citrongate/internal/standin/engine"
	"github.com/citrongate/citrongate/internal/standin/load"
)

// started returns the number of requests that each engine has started.
func (f *fleet) started(t *testing.T) []uint64 {
	t.Helper()
	var all []uint64
	for _, address := range f.engines {
		response, err := f.http.Get("http://" + address + "/control/counters")
		require.NoError(t, err)
		var counters engine.Counters
		require.NoError(t, json.NewDecoder(response.Body).Decode(&counters))
		response.Body.Close()
		all = append(all, counters.Started)
	}
	return all
}

// chat sends model calls one after the other, through any entry.
func (f *fleet) chat(t *testing.T, count int) {
	t.Helper()
	caller := client.NewCaller(f.callers(), callerToken, f.http)
	for i := range count {
		result, err := caller.Do(context.Background(), &client.Request{
			Kind: "chat", Model: "small", Stream: true, Deadline: patience, Repeatable: true,
			Messages: []client.Message{{Role: "user", Content: fmt.Sprintf("question %d tokens=3", i)}},
		})
		require.NoError(t, err)
		require.True(t, result.Whole, "%v", result.Attempts)
	}
}

// waitRevision waits until all entries have the revision in force.
func (f *fleet) waitRevision(t *testing.T, revision uint64) {
	t.Helper()
	for _, e := range f.entries {
		waitFor(t, e.name+" to have the change in force", func() bool {
			status, _, err := f.adminOf(e).Status(context.Background())
			return err == nil && status.ConfigRevision >= revision
		})
	}
}

// TestUpstreamLeaving guards against new work for an upstream that is listed as
// leaving, also when a later list no longer says so.
func TestUpstreamLeaving(t *testing.T) {
	t.Parallel()
	f := startFleet(t, direct)
	control := "http://" + f.platform + "/control/"
	require.NoError(t, f.post(control+"instances", `{"name":"engine-1","incarnation":"1","upstream":true}`))
	require.NoError(t, f.post(control+"instances/engine-1/leaving", ""))
	for _, e := range f.entries {
		waitFor(t, e.name+" to know that the engine leaves", func() bool { return f.upstreamState(e, "engine-1") == "leaving" })
	}
	before := f.started(t)
	require.NoError(t, f.post(control+"state", `{"list_lag_ms":600000}`))
	f.chat(t, 30)
	after := f.started(t)
	require.Equal(t, before[0], after[0])
	require.Equal(t, before[1]+before[2]+30, after[1]+after[2])
}

func (f *fleet) upstreamState(e *entry, name string) string {
	status, _, err := f.adminOf(e).Status(context.Background())
	if err != nil {
		return ""
	}
	for _, u := range status.Upstreams {
		if u.Name == name {
			return u.State
		}
	}
	return ""
}

// TestLabelRedirects guards against work that stays where it was after one
// label change.
func TestLabelRedirects(t *testing.T) {
	t.Parallel()
	f := startFleet(t, direct)
	objects := f.objects(direct)
	for _, object := range objects {
		switch object.Meta.Name {
		case "models":
			object.GetRoute().Upstreams = "type=engine,drain!=yes"
		case "engine-1", "engine-2":
			object.Meta.Labels = map[string]string{"drain": "yes"}
		}
	}
	revision, err := f.apply(objects)
	require.NoError(t, err)
	f.waitRevision(t, revision)
	before := f.started(t)
	f.chat(t, 20)
	after := f.started(t)
	require.Equal(t, []uint64{before[0], before[1], before[2] + 20}, after)
}

// TestEntryStartsDuringOutage guards against an instance that needs the store
// to start although its peers have the configuration.
func TestEntryStartsDuringOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, direct)
	require.NoError(t, f.post("http://"+f.platform+"/control/state", `{"outage":true}`))
	ports := freePorts(t, 3)
	late := f.startEntry(t, "entry-late", ports[0], ports[1], ports[2])
	waitFor(t, "the late entry to be ready", func() bool {
		status, _, err := f.adminOf(late).Status(context.Background())
		return err == nil && status.Ready && status.ConfigRevision > 0
	})
	f.entries = []*entry{late}
	f.chat(t, 5)
}

// TestKilledDuringOutage guards against a second run of a booking when an entry
// is killed and replaced while the store is not available.
func TestKilledDuringOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, direct)
	outcomes := sendLoad(t, f, load.Config{}, func() {
		require.NoError(t, f.post("http://"+f.platform+"/control/state", `{"outage":true}`))
		f.entries[1].signal(t, syscall.SIGKILL)
		ports := freePorts(t, 3)
		f.startEntry(t, "entry-new", ports[0], ports[1], ports[2])
	})
	requireTruthful(t, f, outcomes)
	requireWhole(t, outcomes, repeatable)
}

// TestAddressInUse guards against an instance that hangs or panics, and says
// nothing, when another process has one of its addresses.
func TestAddressInUse(t *testing.T) {
	t.Parallel()
	ports := freePorts(t, 4)
	taken, err := net.Listen("tcp", ports[3])
	require.NoError(t, err)
	defer taken.Close()
	f := &fleet{platform: ports[3]}
	for setting, e := range map[string]*entry{
		"caller": f.startEntry(t, "entry-caller", ports[3], ports[0], ports[1]),
		"admin":  f.startEntry(t, "entry-admin", ports[0], ports[3], ports[2]),
	} {
		require.Equal(t, 1, e.waitExit(t))
		require.Contains(t, e.output.String(), "cannot listen on [listen] "+setting+" "+ports[3])
		require.NotContains(t, e.output.String(), "panic")
	}
}

// TestCertificates guards against instances that don't talk to each other, or
// to callers, with the certificates that the keys command makes, and against
// one that is accepted without a certificate.
func TestCertificates(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	args := []string{"keys", "certificates", "--dir", dir}
	for i := range entryCount {
		args = append(args, "--instance", fmt.Sprintf("entry-%d=127.0.0.1", i+1))
	}
	require.Zero(t, start(t, "keys", "citrongate", args...).waitExit(t))
	f := startFleetWith(t, direct, dir)
	seeds := f.callers()
	for i := range seeds {
		seeds[i] = "https://" + seeds[i]
	}
	call := start(t, "call", "citrongate", "call", "--entry", seeds[0], "--entry", seeds[1], "--ca-file", filepath.Join(dir, "authority.pem"),
		"--token", callerToken, "--kind", "chat", "--model", "small", "--message", "hello tokens=3")
	require.Zero(t, call.waitExit(t))
	require.Contains(t, call.output.String(), engine.TokenText("hello tokens=3", 2))

	f.certificates = ""
	ports := freePorts(t, 3)
	stranger := f.startEntry(t, "stranger", ports[0], ports[1], ports[2])
	waitFor(t, "the stranger to take the configuration from the store", func() bool {
		status, _, err := f.adminOf(stranger).Status(context.Background())
		return err == nil && status.ConfigRevision > 0
	})
	status, _, err := f.adminOf(f.entries[0]).Status(context.Background())
	require.NoError(t, err)
	for _, instance := range status.Instances {
		require.False(t, instance.AdminAddress == stranger.admin && instance.State == "alive", "an instance without certificate is a member")
	}
}
