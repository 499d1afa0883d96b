// Command _lab2 is the driver of the scripts under review/6 and later: it starts a store and
// servers in this process, gateways as separate processes, sends requests and judges what
// clients and servers saw.
package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	standinplatform "github.com/citrongate/citrongate/internal/standin/platform"
	"github.com/citrongate/citrongate/platform/standin"
)

const (
	loopback = "127.0.0.1"
	// host and key are those of all requests.
	host = "ficu95.example"
	// heartbeat is the time between two writes of a server to the store.
	heartbeat = 1200 * time.Millisecond
	// readyWithin bounds the wait for a condition of a sound start.
	readyWithin = 20 * time.Second
)

// lab is one small deployment.
type lab struct {
	dir      string
	program  string
	template string
	trouble  bool

	fake         *standinplatform.Platform
	store        *standin.Store
	storeAddress string
	version      int
	// services are further plain services.
	services []string
	gateways []*gateway

	mu      sync.Mutex
	record  *os.File
	started time.Time
	closers []func()
}

// gateway is one process of the program under test.
type gateway struct {
	name, front, ready, directory string
	command                       *exec.Cmd
	output                        *bytes.Buffer
	done                          chan struct{}
}

// newLab starts the store. It takes the repository's root, the folder of the record and whether the
// disruption takes place.
func newLab(root, record string, trouble bool) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-lab")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "entry.ini.template"))
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, program: filepath.Join(root, "target", "citrongate"), template: string(template), trouble: trouble,
		fake: standinplatform.New(standinplatform.Config{}), record: file, started: time.Now()}
	l.store = standin.NewStore(l.fake)
	l.storeAddress = l.serve(l.store.Handler())
	l.logf("trouble: %v", trouble)
	return l, nil
}

// logf writes a line with the seconds since the start to the record.
func (l *lab) logf(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.started).Seconds()}, arguments...)...)
}

// serve serves a handler on a free port until the end of the lab.
func (l *lab) serve(handler http.Handler) (address string) {
	listener, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		l.unable("no free port: %v", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	l.onClose(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (l *lab) onClose(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closers = append(l.closers, f)
}

// unable ends the script, since the case could not run.
func (l *lab) unable(format string, arguments ...any) {
	l.logf("the case could not run: "+format, arguments...)
	l.close()
	os.Exit(2)
}

// finish ends the script with the verdict.
func (l *lab) finish(broken bool, format string, arguments ...any) {
	l.logf(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
	l.close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// close ends all processes that the lab started.
func (l *lab) close() {
	for _, g := range l.gateways {
		g.kill()
	}
	l.mu.Lock()
	closers := l.closers
	l.mu.Unlock()
	for _, f := range closers {
		f()
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// route is one route of a configuration.
type route struct {
	Name, Host, PathPrefix, Kind, Service string
	TimeoutMs, GoalMs, GapGoalMs          int
	Priority, Attempts                    int
	Sticky, Resumable                     bool
}

// tenant is one tenant of a configuration.
type tenant struct {
	Name, Unit      string
	APIKeys         []string
	PlainTokens     int
	RatePerS, Burst float64
}

// usualTenant returns a tenant whose quota is never reached.
func usualTenant(name string, keys ...string) tenant {
	return tenant{Name: name, APIKeys: keys, Unit: "tokens", PlainTokens: 200, RatePerS: 1e6, Burst: 1e6}
}

// configure writes a new version of the configuration and returns when the store acknowledged it.
func (l *lab) configure(routes []route, tenants []tenant, engines ...string) time.Time {
	l.version += 3
	services := []any{map[string]any{"name": "depot-app", "healthPath": "/health", names.MaxConns: 96}}
	for _, name := range engines {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", names.MaxConns: 290,
			"engine": map[string]any{"slots": 10, names.Capacity: 705997, "stride": 5}})
	}
	for _, name := range l.services {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", names.MaxConns: 96})
	}
	err := l.store.Put("config", "main", map[string]any{
		"version": l.version, "routes": objects(routes), "services": services, "tenants": objects(tenants),
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		l.unable("the configuration can not be written: %v", err)
	}
	l.logf("the store has acknowledged version %d of the configuration", l.version)
	return time.Now()
}

// freeAddresses returns addresses with free ports of a loopback address.
func (l *lab) freeAddresses(ip string, count int) (addresses []string) {
	var open []net.Listener
	for len(addresses) < count {
		listener, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			l.unable("no free port: %v", err)
		}
		open = append(open, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	for _, listener := range open {
		_ = listener.Close()
	}
	return addresses
}

// start starts gateways and waits until they are ready.
func (l *lab) start(count int) {
	for i := range count {
		l.gateways = append(l.gateways, l.newGateway(fmt.Sprintf("front-%d", i+1), i))
	}
	for _, g := range l.gateways {
		l.run(g)
	}
	for _, g := range l.gateways {
		l.await(g.name+" to be ready", func() bool { return g.isReady() })
	}
	time.Sleep(time.Second)
}

// newGateway writes the settings of a gateway, filled in from the template.
func (l *lab) newGateway(name string, index int) *gateway {
	// Each gateway has a loopback address of its own, so that no other process takes its ports.
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/250%128, 1+os.Getpid()%250, index+2)
	a := l.freeAddresses(ip, 5)
	g := &gateway{name: name, front: a[0], ready: a[1], directory: a[2]}
	_, peerPort, _ := net.SplitHostPort(a[4])
	values := map[string]string{
		"nodeName": name, "zone": fmt.Sprintf("np-central-%c", 'a'+index%3), "region": "np-central", "ip": ip,
		"listenAddrs.front": a[0], "listenAddrs.ready": a[1], "listenAddrs.directory": a[2], "listenAddrs.control": a[3],
		"portRange.0": peerPort, "platform.address": l.storeAddress,
		"bounds.graceS": "8", "bounds.drainMs": "2000", "bounds.configApplyMs": "2000", "bounds.strictRevoke": "true",
		"bounds.revokeMs": "5000", "bounds.budgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetExtra": "52",
		"bounds.ttl_max_s": "5", "limits.memoryMb": "284", "limits.maxFds": "4200", "bounds.quotaWindowS": "8",
		"bounds.quotaOver": "0.1", "bounds.quotaSlack": "140000",
	}
	if err := os.WriteFile(g.settings(l), []byte(fill(l.template, values)), 0o600); err != nil {
		l.unable("settings: %v", err)
	}
	return g
}

func (g *gateway) settings(l *lab) string { return filepath.Join(l.dir, g.name+".conf") }

var (
	sections     = regexp.MustCompile(`\{\{([#^])([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholders = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills in a template of settings as the platform does, as far as the project's one needs.
func fill(template string, values map[string]string) string {
	text := sections.ReplaceAllStringFunc(template, func(section string) string {
		m := sections.FindStringSubmatch(section)
		value := values[m[2]]
		if (value != "" && value != "false") == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return placeholders.ReplaceAllStringFunc(text, func(p string) string { return values[strings.Trim(p, "{}")] })
}

// run starts the process of a gateway.
func (l *lab) run(g *gateway) {
	g.command = exec.Command(l.program, "serve", "--config", g.settings(l))
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "GOMAXPROCS=1"}
	g.output, g.done = &bytes.Buffer{}, make(chan struct{})
	g.command.Stdout, g.command.Stderr = g.output, g.output
	if err := g.command.Start(); err != nil {
		l.unable("%s can not be started: %v", g.name, err)
	}
	command, done := g.command, g.done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	l.logf("%s started, front %s", g.name, g.front)
}

func (g *gateway) kill() {
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Signal(syscall.SIGKILL)
		<-g.done
	}
}

// ended reports whether the process has ended.
func (g *gateway) ended() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+names.Ready, nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits for a condition of a sound start.
func (l *lab) await(what string, done func() bool) {
	for end := time.Now().Add(readyWithin); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			l.unable("no %s within %v", what, readyWithin)
		}
	}
}

// register writes a server's entry at once and then at each heartbeat, until the returned function
// is called.
func (l *lab) register(id, service, address string, slots int, born int64, state func() string) (stop func()) {
	sequence := 0
	write := func() {
		sequence++
		_ = l.store.Put("servers", id, map[string]any{"service": service, "address": address, "zone": "np-central-a",
			"version": "v1", "slots": slots, "state": state(), names.ColdLeft: 0, "sequence": sequence, "born": born})
	}
	write()
	ended := make(chan struct{})
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				write()
			case <-ended:
				return
			}
		}
	}()
	var once sync.Once
	stop = func() { once.Do(func() { close(ended) }) }
	l.onClose(stop)
	return stop
}

func alwaysReady() string { return "ready" }
