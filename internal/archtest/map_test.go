package archtest

import (
	"go/build"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	mapStart = "## 4. Division into packages"
	mapEnd   = "Programs: "
)

var mapRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

// TestMapOfPackages guards against packages that are missing from the package table
// in the design document, and against rows for packages that no longer exist.
func TestMapOfPackages(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "design.md"))
	require.NoError(t, err)
	_, text, found := strings.Cut(string(page), mapStart)
	require.True(t, found)
	text, _, found = strings.Cut(text, mapEnd)
	require.True(t, found)
	var named []string
	for _, row := range mapRow.FindAllStringSubmatch(text, -1) {
		named = append(named, expandBraces(row[1])...)
	}
	require.ElementsMatch(t, libraryPackages(t), named)
}

// expandBraces returns the paths in a row, which may list several names in braces.
func expandBraces(row string) (paths []string) {
	before, rest, found := strings.Cut(row, "{")
	if !found {
		return []string{row}
	}
	names, after, _ := strings.Cut(rest, "}")
	for _, name := range strings.Split(names, ",") {
		paths = append(paths, before+name+after)
	}
	return paths
}

// libraryPackages returns the directories of all packages except programs.
func libraryPackages(t *testing.T) (paths []string) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		if name := entry.Name(); path != root && (strings.HasPrefix(name, ".") || name == "testdata") {
			return filepath.SkipDir
		}
		pkg, err := build.ImportDir(path, 0)
		if err != nil || pkg.Name == "main" {
			return nil // no Go files here, or a program
		}
		relative, err := filepath.Rel(root, path)
		paths = append(paths, filepath.ToSlash(relative))
		return err
	})
	require.NoError(t, err)
	return paths
}
