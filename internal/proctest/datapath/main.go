// Command datapath measures one entry instance on loopback against stand-in
// engines: requests and tokens per second of its processor time, resident memory
// with open streams and at rest. It starts the programs from bin/ (make build, and
// the programs below this directory as bin/datapath-entry and bin/datapath-baseline)
// as processes, and ends those that it started.
package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
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
)

// Target of the design: total requests and tokens per second over all nodes.
const (
	targetNodes    = 1400
	targetRequests = 36_000.0
	targetTokens   = 10_000_000.0
	// ticksPerSecond is the number of clock ticks per second, the unit of processor
	// times in /proc/PID/stat.
	ticksPerSecond = 100
	operatorToken  = "operator-token"
	callerToken    = "caller-token"
)

func main() {
	dir := flag.String("dir", "", "directory for settings, logs and the profile; a temporary one if empty")
	seconds := flag.Int("seconds", 5, "duration of each measurement")
	profile := flag.String("profile", "", "write the entry's processor profile of the first measurement to this file")
	organisations := flag.Int("organisations", 0, "further organisations in the configuration")
	rest := flag.Bool("rest", false, "measure memory at rest only")
	upstreams := flag.Int("upstreams", 0, "further upstreams, of another failure domain, in the configuration")
	flag.Parse()
	b := &bench{dir: *dir, duration: time.Duration(*seconds) * time.Second, profile: *profile, organisations: *organisations, upstreams: *upstreams, restOnly: *rest}
	err := b.run()
	b.stop()
	if err != nil {
		fmt.Println("datapath:", err)
		os.Exit(1)
	}
}

type bench struct {
	dir                      string
	duration                 time.Duration
	profile                  string
	organisations, upstreams int
	restOnly                 bool
	started                  []*exec.Cmd
	entry                    *exec.Cmd
	caller, admin            string
	client                   *http.Client
}

func (b *bench) start(name string, args ...string) (*exec.Cmd, error) {
	log, err := os.Create(filepath.Join(b.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(args[0], args[1:]...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	b.started = append(b.started, command)
	return command, nil
}

// stop ends the started processes, the most recent first, so that the entry instance
// stops before the stand-ins that it uses.
func (b *bench) stop() {
	for i := len(b.started) - 1; i >= 0; i-- {
		_ = b.started[i].Process.Signal(syscall.SIGTERM)
	}
	for _, command := range b.started {
		killTimer := time.AfterFunc(5*time.Second, func() { _ = command.Process.Kill() })
		_ = command.Wait()
		killTimer.Stop()
	}
}

func (b *bench) run() error {
	if b.dir == "" {
		dir, err := os.MkdirTemp("", "datapath")
		if err != nil {
			return err
		}
		b.dir = dir
	}
	b.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4000, MaxConnsPerHost: 0}}
	if err := b.startAll(); err != nil {
		return err
	}
	if err := b.memoryAtRest(); err != nil {
		return err
	}
	if b.restOnly {
		return nil
	}
	for _, load := range []struct {
		name         string
		open, tokens int
	}{{"short", 32, 1}, {"typical", 128, 277}, {"typical", 512, 277}, {"typical", 1024, 277}} {
		if err := b.measure(load.name, load.open, load.tokens); err != nil {
			return err
		}
	}
	return nil
}

const engineCount = 4

func (b *bench) startAll() error {
	ports, err := freePorts(5 + engineCount)
	if err != nil {
		return err
	}
	platform, engines := ports[0], ports[5:]
	b.caller, b.admin = ports[1], ports[2]
	command := []string{"bin/citrongate-standin", "platform", "--listen", platform}
	for i := range engines {
		command = append(command, "--upstream", fmt.Sprintf("engine-%d", i))
	}
	if _, err := b.start("platform", command...); err != nil {
		return err
	}
	for i, address := range engines {
		if _, err := b.start(fmt.Sprintf("engine-%d", i), "bin/citrongate-standin", "engine", "--listen", address, "--step-base", "10ms",
			"--step-per-sequence", "0s", "--max-batch", "2000", "--prefill-tokens-per-second", "1000000", "--prefill-chunk", "100000"); err != nil {
			return err
		}
	}
	ini := fmt.Sprintf("[instance]\nname = entry-1\nfailure_domain = zone-a\nregion = region-1\n[listen]\ncaller = %s\nadmin = %s\npeer = %s\n"+
		"[platform]\naddress = %s\n[scheduler]\ntarget_ttft = 60s\ntarget_inter_token = 10s\n[bootstrap]\noperator_token_sha256 = %s\n",
		b.caller, b.admin, ports[3], platform, digest(operatorToken))
	file := filepath.Join(b.dir, "entry.ini")
	if err := os.WriteFile(file, []byte(ini), 0o600); err != nil {
		return err
	}
	if b.entry, err = b.start("entry", "bin/datapath-entry", "-c", file, "-profile", b.profile, "-heap", filepath.Join(b.dir, "heap.prof")); err != nil {
		return err
	}
	if err := waitUntil(10*time.Second, func() bool { return b.adminCall("GET", "/admin/v1/status", "") == nil }); err != nil {
		return err
	}
	if err := b.configure(engines); err != nil {
		return err
	}
	return waitUntil(15*time.Second, func() bool {
		_, _, err := b.call(context.Background(), 1)
		return err == nil
	})
}

func (b *bench) configure(engines []string) error {
	objects := []string{
		`{"meta":{"kind":"Tier","name":"normal"},"tier":{"rank":0,"defaultDeadlineMs":60000}}`,
		`{"meta":{"kind":"RequestKind","name":"chat"},"requestKind":{"tier":"normal","modelCall":true,"maxOutputTokens":4096}}`,
		`{"meta":{"kind":"Organisation","name":"lab"},"organisation":{"weight":1,"tokenSha256":["` + digest(callerToken) + `"]}}`,
		`{"meta":{"kind":"Route","name":"models"},"route":{"order":10,"requests":"","upstreams":"type=engine"}}`,
	}
	for i, address := range engines {
		objects = append(objects, fmt.Sprintf(`{"meta":{"kind":"Upstream","name":"engine-%d"},"upstream":{"address":"%s","type":"engine","failureDomain":"zone-a","models":["small"],"concurrency":1000,"maxConcurrency":1000}}`, i, address))
	}
	if err := b.apply(objects); err != nil {
		return err
	}
	objects = nil
	for i := range b.organisations {
		objects = append(objects, fmt.Sprintf(`{"meta":{"kind":"Organisation","name":"organisation-%05d"},"organisation":{"weight":1,"tokenSha256":["%064x"],"limits":{"requestsPerSecond":500,"burst":500}}}`, i, i+1))
	}
	for i := range b.upstreams {
		objects = append(objects, fmt.Sprintf(`{"meta":{"kind":"Upstream","name":"far-%05d","labels":{"pool":"far"}},"upstream":{"address":"10.100.%d.%d:8000","type":"service","failureDomain":"zone-%d"}}`, i, i/250, i%250, i%23))
	}
	// The body of one request is limited to 1 MiB.
	for len(objects) > 0 {
		n := min(len(objects), 2500)
		if err := b.apply(objects[:n]); err != nil {
			return err
		}
		objects = objects[n:]
	}
	return nil
}

func (b *bench) apply(objects []string) error {
	return b.adminCall("POST", "/admin/v1/apply", `{"objects":[`+strings.Join(objects, ",")+`]}`)
}

func (b *bench) adminCall(method, path, body string) error {
	request, err := http.NewRequest(method, "http://"+b.admin+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	answer, err := b.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: %s %s", method, path, answer.Status, text)
	}
	return err
}

// call makes one streamed call and returns the numbers of tokens and bytes received.
func (b *bench) call(ctx context.Context, tokens int) (count, size int, err error) {
	body := fmt.Sprintf(`{"model":"small","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"tokens=%d"}]}`, tokens, tokens)
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+b.caller+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	request.Header.Set("Authorization", "Bearer "+callerToken)
	request.Header.Set("Citrongate-Kind", "chat")
	answer, err := b.client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	lines := bufio.NewScanner(answer.Body)
	var last []byte
	for lines.Scan() {
		size += len(lines.Bytes()) + 1
		if bytes.HasPrefix(lines.Bytes(), []byte("data: {")) {
			count++
		}
		if len(lines.Bytes()) > 0 {
			last = append(last[:0], lines.Bytes()...)
		}
	}
	if string(last) != "data: [DONE]" {
		return count, size, fmt.Errorf("answer %s is truncated: %s", answer.Status, last)
	}
	return count, size, lines.Err()
}

// measure keeps a number of streams open, waits 3 s, and then measures processor time
// and throughput for the duration.
func (b *bench) measure(name string, open, tokens int) error {
	var calls, received, failed atomic.Int64
	var lastErr atomic.Value
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for range open {
		wait.Go(func() {
			for ctx.Err() == nil {
				n, _, err := b.call(ctx, tokens)
				switch {
				case err == nil:
					calls.Add(1)
					received.Add(int64(n))
				case ctx.Err() == nil:
					failed.Add(1)
					lastErr.Store(err.Error())
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	calls.Store(0)
	received.Store(0)
	before, start := cpuTime(b.entry.Process.Pid), time.Now()
	time.Sleep(b.duration)
	used, elapsed := cpuTime(b.entry.Process.Pid)-before, time.Since(start).Seconds()
	done, all := float64(calls.Load()), float64(received.Load())
	memory := residentMemory(b.entry.Process.Pid)
	cancel()
	wait.Wait()
	if failed.Load() > 0 {
		fmt.Printf("datapath %s open=%d failed=%d last: %v\n", name, open, failed.Load(), lastErr.Load())
	}
	cores := used.Seconds() / elapsed
	fmt.Printf("datapath %s open=%d requests/s=%.0f tokens/s=%.0f entry_cores=%.2f requests/s/core=%.0f tokens/s/core=%.0f resident=%.1f MB\n",
		name, open, done/elapsed, all/elapsed, cores, done/elapsed/cores, all/elapsed/cores, memory/1e6)
	if tokens > 1 {
		perCore := all / elapsed / cores
		fmt.Printf("datapath target: %.0f requests/s and %.0f tokens/s per node need %.2f cores per node\n",
			targetRequests/targetNodes, targetTokens/targetNodes, targetTokens/targetNodes/perCore)
	}
	return nil
}

// memoryAtRest compares the resident memory of an entry instance without requests
// with that of a process that has only started the libraries.
func (b *bench) memoryAtRest() error {
	baseline, err := b.start("baseline", "bin/datapath-baseline")
	if err != nil {
		return err
	}
	before := cpuTime(b.entry.Process.Pid)
	time.Sleep(5 * time.Second)
	cores := (cpuTime(b.entry.Process.Pid) - before).Seconds() / 5
	entry, empty := residentMemory(b.entry.Process.Pid), residentMemory(baseline.Process.Pid)
	fmt.Printf("datapath rest organisations=%d upstreams=%d entry=%.1f MB baseline=%.1f MB difference=%.1f MB entry_cores=%.4f\n",
		b.organisations+1, b.upstreams+engineCount, entry/1e6, empty/1e6, (entry-empty)/1e6, cores)
	return nil
}

func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// residentMemory returns the resident memory of a process in bytes; 0 on an error.
func residentMemory(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages * os.Getpagesize())
}

func freePorts(n int) ([]string, error) {
	out, err := exec.Command("bin/citrongate-standin", "ports", "-n", strconv.Itoa(n)).Output()
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, port := range strings.Fields(string(out)) {
		addresses = append(addresses, net.JoinHostPort("127.0.0.1", port))
	}
	return addresses, nil
}

func digest(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }

func waitUntil(limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not ready within %v; see the logs", limit)
}
