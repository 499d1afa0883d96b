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

// forbidden lists imports with which a decision package (below pkg) could do I/O, read
// the wall clock through a runtime library, log, lock, or use a global random source.
// A path that ends in a slash stands for all packages below it.
var forbidden = []string{
	"net", "net/http", "os", "os/exec", "syscall", "log", "log/slog",
	"math/rand", "crypto/rand", "sync",
	"github.com/lesismal/", "github.com/quic-go/", "github.com/rs/zerolog",
	"go.opentelemetry.io/", "github.com/urfave/cli",
	"github.com/citrongate/citrongate/internal/",
}

// TestDecisionPackagesDoNoIO guards against a decision package that imports network,
// operating system, logging or random packages: its decisions could then not be
// replayed exactly.
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
