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

// startCounts returns the number of requests started by each engine.
func (f *fleet) startCounts(t *testing.T) []uint64 {
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

// sendChats sends model calls one after the other through any entry instance, and
// requires a complete answer to each.
func (f *fleet) sendChats(t *testing.T, count int) {
	t.Helper()
	caller := client.NewCaller(f.callerAddresses(), callerToken, f.http)
	for i := range count {
		result, err := caller.Call(context.Background(), &client.Request{
			Kind: "chat", Model: "small", Stream: true, Deadline: waitLimit, Repeatable: true,
			Messages: []client.Message{{Role: "user", Content: fmt.Sprintf("question %d tokens=3", i)}},
		})
		require.NoError(t, err)
		require.True(t, result.Complete, "%v", result.Attempts)
	}
}

// waitRevision waits until all entry instances have the revision, or a newer one, in force.
func (f *fleet) waitRevision(t *testing.T, revision uint64) {
	t.Helper()
	for _, e := range f.entries {
		waitFor(t, e.name+" to have the change in force", func() bool {
			status, _, err := f.adminOf(e).Status(context.Background())
			return err == nil && status.ConfigRevision >= revision
		})
	}
}

// TestUpstreamLeaving guards against new requests to an upstream that was listed as
// leaving, even if a later, lagging list no longer shows it as leaving.
func TestUpstreamLeaving(t *testing.T) {
	t.Parallel()
	f := startFleet(t, directAddress)
	control := "http://" + f.platform + "/control/"
	require.NoError(t, f.post(control+"instances", `{"name":"engine-1","incarnation":"1","upstream":true}`))
	require.NoError(t, f.post(control+"instances/engine-1/leaving", ""))
	for _, e := range f.entries {
		waitFor(t, e.name+" to know that the engine leaves", func() bool { return f.upstreamState(e, "engine-1") == "leaving" })
	}
	before := f.startCounts(t)
	require.NoError(t, f.post(control+"state", `{"list_lag_ms":600000}`))
	f.sendChats(t, 30)
	after := f.startCounts(t)
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

// TestLabelRedirects guards against requests that still go to the previous upstreams
// after a change of the upstreams' labels.
func TestLabelRedirects(t *testing.T) {
	t.Parallel()
	f := startFleet(t, directAddress)
	objects := f.objects(directAddress)
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
	before := f.startCounts(t)
	f.sendChats(t, 20)
	after := f.startCounts(t)
	require.Equal(t, []uint64{before[0], before[1], before[2] + 20}, after)
}

// TestEntryStartsDuringOutage guards against an instance that cannot start without
// the store although its peers have the configuration.
func TestEntryStartsDuringOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, directAddress)
	require.NoError(t, f.post("http://"+f.platform+"/control/state", `{"outage":true}`))
	ports := freePorts(t, 3)
	late := f.startEntry(t, "entry-late", ports[0], ports[1], ports[2])
	waitFor(t, "the late entry to be ready", func() bool {
		status, _, err := f.adminOf(late).Status(context.Background())
		return err == nil && status.Ready && status.ConfigRevision > 0
	})
	f.entries = []*entry{late}
	f.sendChats(t, 5)
}

// TestKilledDuringOutage guards against a second run of a booking when an entry
// instance is killed and replaced while the store is unavailable.
func TestKilledDuringOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, directAddress)
	outcomes := sendLoad(t, f, load.Config{}, func() {
		require.NoError(t, f.post("http://"+f.platform+"/control/state", `{"outage":true}`))
		f.entries[1].signal(t, syscall.SIGKILL)
		ports := freePorts(t, 3)
		f.startEntry(t, "entry-new", ports[0], ports[1], ports[2])
	})
	requireTruthful(t, f, outcomes)
	requireComplete(t, outcomes, repeatable)
}

// TestAddressInUse guards against an instance that hangs or panics, without a clear
// error message, when another process uses one of its addresses.
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

// TestCertificates guards against instances that can't communicate with each other
// or with callers when they use the certificates that the keys command creates, and
// against an instance that is accepted as a member without a certificate.
func TestCertificates(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	args := []string{"keys", "certificates", "--dir", dir}
	for i := range entryCount {
		args = append(args, "--instance", fmt.Sprintf("entry-%d=127.0.0.1", i+1))
	}
	require.Zero(t, start(t, "keys", "citrongate", args...).waitExit(t))
	f := startFleetWith(t, directAddress, dir)
	seeds := f.callerAddresses()
	for i := range seeds {
		seeds[i] = "https://" + seeds[i]
	}
	call := start(t, "call", "citrongate", "call", "--entry", seeds[0], "--entry", seeds[1], "--ca-file", filepath.Join(dir, "authority.pem"),
		"--token", callerToken, "--kind", "chat", "--model", "small", "--message", "hello tokens=3")
	require.Zero(t, call.waitExit(t))
	require.Contains(t, call.output.String(), engine.TokenText("hello tokens=3", 2))

	f.certificates = ""
	ports := freePorts(t, 3)
	uncertified := f.startEntry(t, "stranger", ports[0], ports[1], ports[2])
	waitFor(t, "the instance without certificate to read the configuration from the store", func() bool {
		status, _, err := f.adminOf(uncertified).Status(context.Background())
		return err == nil && status.ConfigRevision > 0
	})
	status, _, err := f.adminOf(f.entries[0]).Status(context.Background())
	require.NoError(t, err)
	for _, instance := range status.Instances {
		require.False(t, instance.AdminAddress == uncertified.admin && instance.State == "alive", "an instance without certificate is a member")
	}
}
