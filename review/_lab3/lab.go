package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	standinplatform "github.com/citrongate/citrongate/internal/standin/platform"
	"github.com/citrongate/citrongate/internal/testport"
	"github.com/citrongate/citrongate/platform/standin"
)

// Host is the host of all routes.
const Host = "ficu95.example"

// Key is the key of the only tenant.
const Key = "i9n73hh2b9wu3fexd9dn"

// Objects is a store as the operator and the servers see it.
type Objects interface {
	Put(kind, name string, spec any) error
	Remove(kind, name string)
}

// Lab is one small deployment.
type Lab struct {
	Store Objects
	// Keys are the keys of the only tenant.
	Keys []string
	// Plain are the names of further plain services.
	Plain   []string
	newest  any
	address string
	dir     string
	record  *os.File
	mu      sync.Mutex
	nodes   []*Node
	version int
	ids     atomic.Int64
	started time.Time
}

// New returns a deployment with the project's stand-in store and without servers and instances,
// whose record is written to a file.
func New(record string) (*Lab, error) {
	dir, err := os.MkdirTemp("", "lab3")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &Lab{Keys: []string{Key}, dir: dir, record: file, started: time.Now()}
	store := standin.NewStore(standinplatform.New(standinplatform.Config{}))
	return l, l.UseStore(store, store.Handler())
}

// UseStore replaces the store, before anything is written to it.
func (l *Lab) UseStore(store Objects, handler http.Handler) (err error) {
	l.Store = store
	l.address, err = Serve(handler)
	return err
}

// Serve serves a handler on a free loopback port and returns its address.
func Serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, h) }()
	return listener.Addr().String(), nil
}

// Note writes a line to the record.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%7.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and removes the temporary folder.
func (l *Lab) Close() {
	l.mu.Lock()
	nodes := l.nodes
	l.nodes = nil
	l.mu.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// ID returns a new attempt id.
func (l *Lab) ID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+l.ids.Add(1)) }

// Register writes the entry of a server.
func (l *Lab) Register(id, service, address, state string, slots int, born int64) error {
	return l.Store.Put("servers", id, map[string]any{"service": service, "address": address, "zone": "np-central-a",
		"version": "v1", "slots": slots, "state": state, names.ColdLeft: 0, "born": born, "sequence": 1})
}

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	Attempts                    int
	TimeoutMs                   int
	Priority                    int
}

// Configure writes a new version of the configuration, with engine services and depot-app.
func (l *Lab) Configure(routes []Route, engines []string) error {
	l.version += 3
	var list []any
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.Name, "host": Host, names.Prefix: r.Prefix, "kind": r.Kind,
			names.Timeout: r.TimeoutMs, names.Goal: 300, names.GapGoal: 200, "priority": r.Priority, "service": r.Service, "attempts": r.Attempts,
			"public": false, "sticky": r.Kind == "stream", "resumable": r.Kind == "stream" && r.Attempts > 1})
	}
	services := []any{map[string]any{"name": "depot-app", "healthPath": "/health", names.MaxConns: 96, "protocol": "h1", "tls": false}}
	for _, name := range l.Plain {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", names.MaxConns: 96, "protocol": "h1", "tls": false})
	}
	for _, name := range engines {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", names.MaxConns: 290, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 10, names.Capacity: 705997, "stride": 5}})
	}
	l.newest = map[string]any{"version": l.version, "routes": list, "services": services,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", names.Keys: l.Keys, "unit": "tokens",
			names.PlainTokens: 200, names.Rate: 454696, "burst": 454696}}}
	return l.Rewrite()
}

// Rewrite writes the newest configuration again.
func (l *Lab) Rewrite() error { return l.Store.Put("config", "main", l.newest) }

// Node is one instance.
type Node struct {
	Name                       string
	Front, Ready, Dir, Control string
	file                       string
	command                    *exec.Cmd
	Output                     *bytes.Buffer
	done                       chan struct{}
}

// settings are the values with which the template of the deploy file is filled in.
func settings(name, front, ready, directory, control, peer, store string) string {
	ip, port, _ := strings.Cut(peer, ":")
	values := map[string]string{
		"nodeName": name, "zone": "np-central-a", "region": "np-central", "listenAddrs.front": front, "listenAddrs.ready": ready,
		"listenAddrs.directory": directory, "listenAddrs.control": control, "ip": ip, "portRange.0": port, "platform.address": store,
		"bounds.graceS": "8", "bounds.drainMs": "2000", "bounds.configApplyMs": "2000", "bounds.strictRevoke": "true",
		"bounds.revokeMs": "5000", "bounds.budgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetExtra": "52",
		"bounds.ttl_max_s": "5", "limits.memoryMb": "284", "limits.maxFds": "4200", "bounds.quotaWindowS": "8",
		"bounds.quotaOver": "0.1", "bounds.quotaSlack": "140000"}
	return fill(template, values)
}

// template is read from the deploy file's template.
var template string

// fill fills in a template: sections of one value and values.
func fill(text string, values map[string]string) string {
	var out strings.Builder
	for len(text) > 0 {
		at := strings.Index(text, "{{")
		if at < 0 {
			out.WriteString(text)
			break
		}
		out.WriteString(text[:at])
		tag, rest, _ := strings.Cut(text[at+2:], "}}")
		switch tag[0] {
		case '#', '^':
			inner, after, _ := strings.Cut(rest, "{{/"+tag[1:]+"}}")
			_, set := values[tag[1:]]
			if set == (tag[0] == '#') {
				out.WriteString(fill(inner, values))
			}
			rest = after
		default:
			out.WriteString(values[tag])
		}
		text = rest
	}
	return out.String()
}

// Start starts an instance with the command of the deploy file.
func (l *Lab) Start(name string) (*Node, error) {
	if template == "" {
		text, err := os.ReadFile("deploy/entry.ini.template")
		if err != nil {
			return nil, err
		}
		template = string(text)
	}
	ports, err := testport.Reserve(5)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(l.dir, name+".conf")
	text := settings(name, ports[0], ports[1], ports[2], ports[3], ports[4], l.address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n := &Node{Name: name, Front: ports[0], Ready: ports[1], Dir: ports[2], Control: ports[3], file: file}
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
	return n, l.Restart(n)
}

// Restart starts the process of an instance, with the command of the deploy file.
func (l *Lab) Restart(n *Node) error {
	n.Output, n.done = &bytes.Buffer{}, make(chan struct{})
	n.command = exec.Command("target/citrongate", "serve", "--config", n.file)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1", "CITRONGATE_NODE_FILE=" + n.file}
	n.command.Stdout, n.command.Stderr = n.Output, n.Output
	if err := n.command.Start(); err != nil {
		return err
	}
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(n.command, n.done)
	l.Note("instance %s starts, process %d", n.Name, n.command.Process.Pid)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// Kill ends the process at once.
func (n *Node) Kill() {
	_ = n.command.Process.Kill()
	<-n.done
}

// Ended reports whether the process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// MemoryMB returns the resident memory and its peak.
func (n *Node) MemoryMB() (now, peak float64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			now = kb / 1024
		case "VmHWM:":
			peak = kb / 1024
		}
	}
	return now, peak
}

// AwaitReady waits until the instance says that it is ready.
func (n *Node) AwaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + n.Ready + names.Ready)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(n.Name + " is not ready")
}
