package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/settings"
)

// runApp runs one command and returns its exit code, standard output and standard
// error.
func runApp(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	app := newApp()
	var out, errOut bytes.Buffer
	app.Writer, app.ErrWriter = &out, &errOut
	code := run(context.Background(), app, append([]string{"citrongate"}, args...))
	return code, out.String(), errOut.String()
}

// fakeAdmin is an administration API that gives every request the same answer and
// records the last request.
type fakeAdmin struct {
	status int
	body   string
	method string
	path   string
	header http.Header
	sent   string
}

func (f *fakeAdmin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.method, f.path, f.header, f.sent = r.Method, r.URL.RequestURI(), r.Header, string(body)
	w.WriteHeader(f.status)
	io.WriteString(w, f.body)
}

func startAdmin(t *testing.T, status int, body string) (*fakeAdmin, string) {
	t.Helper()
	fake := &fakeAdmin{status: status, body: body}
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	return fake, server.URL
}

// TestExitCodes guards against exit codes by which a script would take a failure
// for a success.
func TestExitCodes(t *testing.T) {
	_, ok := startAdmin(t, 200, `{"revision":7,"name":"entry-1"}`)
	_, conflict := startAdmin(t, 412, `{"error":{"code":"conflict","reason":"version 9"}}`)
	_, invalid := startAdmin(t, 400, `{"error":{"code":"invalid","problems":["route a: no tier"]}}`)
	file := filepath.Join(t.TempDir(), "objects.json")
	require.NoError(t, os.WriteFile(file, []byte(`[{"meta":{"kind":"Tier","name":"a"},"tier":{}}]`), 0o600))
	cases := []struct {
		args []string
		code int
		text string
	}{
		{[]string{"apply", "-f", file, "--admin", ok}, exitOK, "revision 7"},
		{[]string{"apply", "-f", file, "--admin", conflict}, exitConflict, "version 9"},
		{[]string{"apply", "-f", file, "--admin", invalid}, exitFailed, "route a: no tier"},
		{[]string{"apply", "-f", "absent.json", "--admin", ok}, exitUsage, "cannot read the objects"},
		{[]string{"status", "--admin", "127.0.0.1:1"}, exitNotReached, "remedy"},
		{[]string{"status", "--admin", "127.0.0.1:1", "--admin", ok}, exitOK, "entry-1"},
		{[]string{"status", "--admin", ok, "-o", "xml"}, exitUsage, "json or table"},
		{[]string{"get", "planet", "--admin", ok}, exitUsage, "is not a kind"},
		{[]string{"delete", "tier"}, exitUsage, "KIND NAME"},
		{[]string{"launch"}, exitUsage, "unknown command"},
		{[]string{"check", "-c", "absent.ini"}, exitFailed, "absent.ini"},
		{[]string{"call", "--kind", "k", "--entry", "127.0.0.1:1"}, exitNotReached, "no entry answered"},
		{[]string{"version"}, exitOK, "citrongate"},
	}
	for _, c := range cases {
		code, out, errOut := runApp(t, c.args...)
		require.Equal(t, c.code, code, "%v: %s%s", c.args, out, errOut)
		require.Contains(t, out+errOut, c.text, "%v", c.args)
	}
}

// TestApplySendsAllObjects guards against objects of the file that are not sent to
// the instance.
func TestApplySendsAllObjects(t *testing.T) {
	fake, address := startAdmin(t, 200, `{"revision":"3"}`)
	code, _, errOut := runApp(t, "apply", "-f", "../../examples/objects.json", "--dry-run", "--admin", address, "--token", "secret")
	require.Equal(t, exitOK, code, errOut)
	require.Equal(t, "/admin/v1/apply?dry_run=true", fake.path)
	require.Equal(t, "Bearer secret", fake.header.Get("Authorization"))
	text, err := os.ReadFile("../../examples/objects.json")
	require.NoError(t, err)
	var file, sent struct{ Objects []json.RawMessage }
	require.NoError(t, json.Unmarshal(text, &file))
	require.NoError(t, json.Unmarshal([]byte(fake.sent), &sent))
	require.Len(t, sent.Objects, len(file.Objects))
}

// TestParseObjects guards against reporting only the first problem of a file.
func TestParseObjects(t *testing.T) {
	_, err := parseObjects([]byte(`[{"meta":{"kind":"Tier"}},{"meta":{"kind":"Tier","name":"a"},"colour":1}]`))
	require.ErrorContains(t, err, "object 1")
	require.ErrorContains(t, err, "object 2")
	one, err := parseObjects([]byte(`{"meta":{"kind":"Tier","name":"a"},"tier":{"rank":1}}`))
	require.NoError(t, err)
	require.Len(t, one, 1)
}

// TestDeleteIsConditional guards against deleting an object that was changed in the
// meantime.
func TestDeleteIsConditional(t *testing.T) {
	fake, address := startAdmin(t, 200, `{"revision":8}`)
	code, _, errOut := runApp(t, "delete", "request-kinds", "chat", "--version", "5", "--admin", address)
	require.Equal(t, exitOK, code, errOut)
	require.Equal(t, "DELETE /admin/v1/objects/RequestKind/chat", fake.method+" "+fake.path)
	require.Equal(t, `"5"`, fake.header.Get("If-Match"))
}

// TestCertificates guards against generated files that the settings check rejects,
// and against overwriting a key.
func TestCertificates(t *testing.T) {
	dir := t.TempDir()
	code, _, errOut := runApp(t, "keys", "certificates", "--dir", dir, "--instance", "entry-1=10.0.0.1")
	require.Equal(t, exitOK, code, errOut)
	source := strings.ReplaceAll(`[instance]
name = entry-1
failure_domain = zone-a
region = r
[listen]
caller = 10.0.0.1:1
admin = 10.0.0.1:2
peer = 10.0.0.1:3
[platform]
address = 10.0.0.1:4
[peer]
certificate = DIR/entry-1.pem
key = DIR/entry-1.key
authority = DIR/authority.pem
`, "DIR", dir)
	_, err := settings.Parse("test.ini", []byte(source))
	require.NoError(t, err)
	code, _, _ = runApp(t, "keys", "certificates", "--dir", dir, "--instance", "entry-1=10.0.0.1")
	require.Equal(t, exitFailed, code, "an existing key is not overwritten")
	code, _, errOut = runApp(t, "keys", "certificates", "--dir", dir, "--instance", "entry-2=10.0.0.2")
	require.Equal(t, exitOK, code, errOut)
}

// TestDrainWaitsUntilGone guards against a drain that reports an instance as stopped
// because it answered with an error, too late or not completely.
func TestDrainWaitsUntilGone(t *testing.T) {
	var asked atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusAccepted)
			return
		}
		if asked.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusInternalServerError)
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	code, _, _ := runApp(t, "drain", "--admin", address, "--wait", "--timeout", "1s")
	require.NotEqual(t, exitOK, code)
	require.Greater(t, asked.Load(), int32(1))
	done := make(chan int, 1)
	go func() {
		code, _, _ := runApp(t, "drain", "--admin", address, "--wait", "--timeout", "30s")
		done <- code
	}()
	time.Sleep(300 * time.Millisecond)
	server.Close()
	require.Equal(t, exitOK, <-done)
}

// TestCertificatesGoOn guards against a directory that can not be used any more after
// a run that broke off between a key and its certificate.
func TestCertificatesGoOn(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"authority.key", "entry-1.key"} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte("partial"), 0o600))
	}
	code, _, errOut := runApp(t, "keys", "certificates", "--dir", dir, "--instance", "entry-1=10.0.0.1")
	require.Equal(t, exitOK, code, errOut)
	_, err := tls.LoadX509KeyPair(filepath.Join(dir, "entry-1.pem"), filepath.Join(dir, "entry-1.key"))
	require.NoError(t, err)
	left, err := filepath.Glob(filepath.Join(dir, "*.*.*"))
	require.NoError(t, err)
	require.Empty(t, left)
}

// TestObjectFileTooLarge guards against a file of which only the first part is applied.
func TestObjectFileTooLarge(t *testing.T) {
	text, err := readAtMost(strings.NewReader("[]   "), 5)
	require.NoError(t, err)
	require.Equal(t, "[]   ", string(text))
	_, err = readAtMost(strings.NewReader("[]    "), 5)
	require.ErrorContains(t, err, "split")
}
