package proctest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/client"
	"github.com/citrongate/citrongate/internal/testport"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// waitLimit is the timeout of each wait for something that must happen eventually,
// and the deadline of calls. It is far above the usual time, since the machine may be busy.
const waitLimit = 30 * time.Second

const (
	callerToken   = "caller-token"
	operatorToken = "operator-token"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proctest")
	if err == nil {
		err = build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func build(dir string) error {
	command := exec.Command("go", "build", "-buildvcs=false", "-o", dir, "../../cmd/...")
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("building the programs: %w: %s", err, out)
	}
	return nil
}

// process is a running program that the test started.
type process struct {
	name    string
	command *exec.Cmd
	output  *bytes.Buffer
	done    chan struct{}
}

func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, command: exec.Command(filepath.Join(binaries, program), args...), output: &bytes.Buffer{}, done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = p.output, p.output
	require.NoError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("--- output of %s\n%s", name, tail(p.output.String(), 6000))
		}
	})
	return p
}

func tail(text string, n int) string { return text[max(0, len(text)-n):] }

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(s))
}

// waitExit waits until the process has ended and returns its exit code.
func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode()
	case <-time.After(waitLimit):
		require.FailNow(t, p.name+" did not stop")
		return -1
	}
}

func freePorts(t *testing.T, count int) []string {
	t.Helper()
	addresses, err := testport.Reserve(count)
	require.NoError(t, err)
	return addresses
}

// entry is one entry instance: a citrongate process that callers connect to.
type entry struct {
	*process
	caller, admin string
}

// fleet is a platform stand-in, upstream stand-ins and the entry instances that use them.
type fleet struct {
	platform string
	engines  []string
	services []string
	entries  []*entry
	http     *http.Client
	// certificates is the directory written by "citrongate keys certificates". If
	// empty, entry instances use plain HTTP and loopback peers without TLS certificates.
	certificates string
}

// upstreamAddressFunc returns the address at which entry instances reach an upstream;
// tests use it to put a relay in between.
type upstreamAddressFunc func(kind string, index int, address string) string

func directAddress(_ string, _ int, address string) string { return address }

const (
	entryCount   = 3
	engineCount  = 3
	serviceCount = 2
)

// startFleet starts all processes, applies a configuration and waits until all entry
// instances are ready.
func startFleet(t *testing.T, addressFor upstreamAddressFunc) *fleet {
	t.Helper()
	return startFleetWith(t, addressFor, "")
}

func startFleetWith(t *testing.T, addressFor upstreamAddressFunc, certificates string) *fleet {
	t.Helper()
	ports := freePorts(t, 1+engineCount+serviceCount+3*entryCount)
	f := &fleet{platform: ports[0], engines: ports[1 : 1+engineCount], http: client.NewHTTP(nil), certificates: certificates}
	f.services = ports[1+engineCount : 1+engineCount+serviceCount]
	start(t, "platform", "citrongate-standin", "platform", "--listen", f.platform, "--list-lag", "200ms")
	for i, address := range f.engines {
		start(t, fmt.Sprintf("engine-%d", i+1), "citrongate-standin", "engine", "--listen", address, "--step-base", fmt.Sprintf("%dms", 5*(i+1)))
	}
	for i, address := range f.services {
		start(t, fmt.Sprintf("ledger-%d", i+1), "citrongate-standin", "service", "--listen", address)
	}
	waitFor(t, "the platform", func() bool { return f.post("http://"+f.platform+"/control/state", "{}") == nil })
	for i := range entryCount {
		p := ports[1+engineCount+serviceCount+3*i:]
		f.entries = append(f.entries, f.startEntry(t, fmt.Sprintf("entry-%d", i+1), p[0], p[1], p[2]))
	}
	f.configure(t, addressFor)
	return f
}

func (f *fleet) startEntry(t *testing.T, name, caller, admin, peer string) *entry {
	t.Helper()
	digest := sha256.Sum256([]byte(operatorToken))
	settings := fmt.Sprintf(`[instance]
name = %s
failure_domain = zone-%s
region = region-1
[listen]
caller = %s
admin = %s
peer = %s
[platform]
address = %s
[bootstrap]
operator_token_sha256 = %s
`, name, name, caller, admin, peer, f.platform, hex.EncodeToString(digest[:]))
	if f.certificates != "" {
		settings += fmt.Sprintf(`[listen]
tls_certificate = %[1]s.pem
tls_key = %[1]s.key
[peer]
certificate = %[1]s.pem
key = %[1]s.key
authority = %[2]s
`, filepath.Join(f.certificates, name), filepath.Join(f.certificates, "authority.pem"))
	}
	path := filepath.Join(t.TempDir(), name+".ini")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	return &entry{process: start(t, name, "citrongate", "serve", "-c", path), caller: caller, admin: admin}
}

// configure applies the configuration and waits until all entry instances are ready.
func (f *fleet) configure(t *testing.T, addressFor upstreamAddressFunc) {
	t.Helper()
	waitFor(t, "an entry that accepts the configuration", func() bool {
		_, err := f.apply(f.objects(addressFor))
		return err == nil
	})
	for _, e := range f.entries {
		f.waitReady(t, e)
	}
}

// waitReady waits until an entry instance is ready and lists all those of the fleet
// as members.
func (f *fleet) waitReady(t *testing.T, e *entry) {
	t.Helper()
	last := "no status"
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last status of %s while it was not ready: %s", e.name, last)
		}
	})
	waitFor(t, e.name+" to be ready", func() bool {
		status, raw, err := f.adminOf(e).Status(context.Background())
		last = fmt.Sprintf("%s %v", raw, err)
		return err == nil && status.Ready && len(status.Instances) >= len(f.entries)
	})
}

func (f *fleet) adminOf(entries ...*entry) *client.Admin {
	admin := &client.Admin{Token: operatorToken, HTTP: f.http}
	for _, e := range entries {
		admin.Addresses = append(admin.Addresses, e.admin)
	}
	return admin
}

func (f *fleet) apply(objects []*pb.Object) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	return f.adminOf(f.entries...).Apply(ctx, client.Change{Objects: objects}, false)
}

func (f *fleet) objects(addressFor upstreamAddressFunc) []*pb.Object {
	digest := sha256.Sum256([]byte(callerToken))
	objects := []*pb.Object{
		{Meta: meta("Tier", "urgent"), Spec: &pb.Object_Tier{Tier: &pb.TierSpec{Rank: 0, DefaultDeadlineMs: 20000}}},
		{Meta: meta("Tier", "normal"), Spec: &pb.Object_Tier{Tier: &pb.TierSpec{Rank: 1, DefaultDeadlineMs: 20000}}},
		{Meta: meta("Organisation", "desk"), Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{TokenSha256: []string{hex.EncodeToString(digest[:])}}}},
		{Meta: meta("RequestKind", "chat"), Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{Tier: "urgent", ModelCall: true}}},
		{Meta: meta("RequestKind", "lookup"), Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{Tier: "normal"}}},
		{Meta: meta("RequestKind", "book"), Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{Tier: "urgent", NonIdempotent: true}}},
		{Meta: meta("Route", "models"), Spec: &pb.Object_Route{Route: &pb.RouteSpec{Order: 1, Requests: "kind=chat", Upstreams: "type=engine"}}},
		{Meta: meta("Route", "services"), Spec: &pb.Object_Route{Route: &pb.RouteSpec{Order: 2, Requests: "kind in (lookup, book)", Upstreams: "type=service"}}},
	}
	for i, address := range f.engines {
		objects = append(objects, upstream(fmt.Sprintf("engine-%d", i+1), "engine", addressFor("engine", i, address)))
	}
	for i, address := range f.services {
		objects = append(objects, upstream(fmt.Sprintf("ledger-%d", i+1), "service", addressFor("service", i, address)))
	}
	return objects
}

func meta(kind, name string) *pb.ObjectMeta { return &pb.ObjectMeta{Kind: kind, Name: name} }

func upstream(name, kind, address string) *pb.Object {
	spec := &pb.UpstreamSpec{Address: address, Type: kind, FailureDomain: "zone-a"}
	if kind == "engine" {
		spec.Models = []string{"small"}
	}
	return &pb.Object{Meta: meta("Upstream", name), Spec: &pb.Object_Upstream{Upstream: spec}}
}

// post sends a request to the control API of a stand-in.
func (f *fleet) post(url, body string) error {
	response, err := f.http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		return fmt.Errorf("%s: %s", url, response.Status)
	}
	return nil
}

// waitFor polls until the condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	require.FailNow(t, "timed out waiting for "+what)
}

// callerAddresses returns the addresses at which the entry instances serve callers.
func (f *fleet) callerAddresses() []string {
	var all []string
	for _, e := range f.entries {
		all = append(all, e.caller)
	}
	return all
}

// relay forwards connections to an upstream and can close them during an answer.
type relay struct {
	listener    net.Listener
	target      string
	cutRequests chan struct{}
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: listener, target: target, cutRequests: make(chan struct{}, 1)}
	t.Cleanup(func() { listener.Close() })
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

// cutNext closes the next connection on which bytes of an answer arrive.
func (r *relay) cutNext() {
	select {
	case r.cutRequests <- struct{}{}:
	default:
	}
}

func (r *relay) forward(conn net.Conn) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() {
		copyUntilError(upstream, conn, nil)
		upstream.Close()
	}()
	copyUntilError(conn, upstream, r.cutRequests)
}

// copyUntilError copies in small chunks until an error, or until cut has a value.
func copyUntilError(to, from net.Conn, cut <-chan struct{}) {
	buffer := make([]byte, 512)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-cut:
			return
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
