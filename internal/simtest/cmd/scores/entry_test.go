package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPrintEntry guards against figures in the wrong column, against a broken rule that
// is not shown, and against an id that names no entry.
func TestPrintEntry(t *testing.T) {
	dir := t.TempDir()
	text := `{"id":"ab12","site":"s","head":"0123456789","score":0.5,"days":[
		{"name":"quiet-1","G":0.8,"used":6,"servers":13,"top":1.056,"score":0.7,"served":0.94,"refused":0.02,"failed":0.01,
		 "prices":[["cloud calls",480.1,0.036],["GB between zones",0.2,0.01],["machine-seconds",900,0.04]],"rules":{},"fault":null,"kb_an_instance":20480},
		{"name":"trouble-1","G":0.1,"rules":{"LOST":1},"fault":null,"prices":[]}]}`
	require.NoError(t, os.WriteFile(filepath.Join(dir, "20260101T000000-ab12.json"), []byte(text), 0o600))
	var out strings.Builder
	require.NoError(t, printEntry(&out, dir, "ab12"))
	require.Contains(t, out.String(), "s, entry ab12, sources 0123456, score 0.500")
	require.Contains(t, out.String(), "| quiet-1 | 6, 13 | 0.70 | 0.800 | 1.056 | 0.940 | 0.020 | 0.010 | machine-seconds 0.040 | 480 (0.036) | 20 | 0.200 | kept |")
	require.Contains(t, out.String(), "BROKEN")
	require.Error(t, printEntry(&out, dir, "none"))
}
