package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTrace guards against a log file whose cause of failure is not printed, and
// against wrong exit codes.
func TestTrace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.log")
	line := `{"level":"info","instance":"a","incarnation":"1","request_id":"r1","reason":"limit_rate","status":429,"ran":"no","time":"2026-12-04T12:00:00.000Z","up_ms":1000,"message":"request refused"}`
	require.NoError(t, os.WriteFile(file, []byte(line+"\n"), 0o600))
	code, out, errOut := runApp(t, "trace", "r1", file)
	require.Equal(t, exitOK, code, errOut)
	require.Contains(t, out, "cause: It was answered with 429")
	code, _, errOut = runApp(t, "trace", "r2", file)
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, "no line names the request r2")
	code, _, _ = runApp(t, "trace")
	require.Equal(t, exitUsage, code)
	code, _, errOut = runApp(t, "trace", "r1", file+".missing")
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, ".missing")
}
