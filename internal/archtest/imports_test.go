// Package archtest holds tests of the structure of the source tree.
package archtest

import (
	"go/build"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// forbidden lists import paths that would let a decision package do I/O, read
// the wall clock through a runtime, log, or draw from global randomness.
var forbidden = []string{
	"net", "net/http", "os", "os/exec", "syscall", "log", "log/slog",
	"math/rand", "crypto/rand", "sync",
	"github.com/lesismal/", "github.com/quic-go/", "github.com/rs/zerolog",
	"go.opentelemetry.io/", "github.com/urfave/cli",
	"github.com/citrongate/citrongate/internal/",
}

// TestDecisionPackagesDoNoIO guards against a decision package that imports
// network, clock, logging or random packages, which would break exact replay.
func TestDecisionPackagesDoNoIO(t *testing.T) {
	root := filepath.Join("..", "..", "pkg")
	checked := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		pkg, err := build.ImportDir(path, 0)
		if _, none := err.(*build.NoGoError); none {
			return nil
		}
		require.NoError(t, err)
		checked++
		for _, imported := range pkg.Imports {
			require.Falsef(t, isForbidden(imported), "%s imports %s", path, imported)
		}
		return nil
	})
	require.NoError(t, err)
	require.Positive(t, checked)
}

func isForbidden(imported string) bool {
	for _, path := range forbidden {
		if imported == path || strings.HasSuffix(path, "/") && strings.HasPrefix(imported, path) {
			return true
		}
	}
	return strings.HasPrefix(imported, "net/")
}
