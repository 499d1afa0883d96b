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

// TestMapOfPackages guards the map of packages in the design against packages
// that it does not have and rows of packages that are gone.
func TestMapOfPackages(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "design.md"))
	require.NoError(t, err)
	_, text, found := strings.Cut(string(page), mapStart)
	require.True(t, found)
	text, _, found = strings.Cut(text, mapEnd)
	require.True(t, found)
	var named []string
	for _, row := range mapRow.FindAllStringSubmatch(text, -1) {
		named = append(named, expand(row[1])...)
	}
	require.ElementsMatch(t, libraries(t), named)
}

// expand returns the paths that a row names, which may list several names in braces.
func expand(row string) (paths []string) {
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

// libraries returns the directories of all packages but programs.
func libraries(t *testing.T) (paths []string) {
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
