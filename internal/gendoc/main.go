// Command gendoc generates documentation pages from code and writes them to a
// directory.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/settings"
)

// pages lists the generated pages: their file names and the functions that write
// them.
var pages = []struct {
	name  string
	write func(io.Writer) error
}{
	{"CONFIGURATION.md", settings.WriteReference},
	{"LOGS.md", eventlog.WriteDoc},
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: gendoc DIRECTORY")
		os.Exit(2)
	}
	for _, page := range pages {
		if err := create(filepath.Join(os.Args[1], page.name), page.write); err != nil {
			fmt.Fprintln(os.Stderr, "gendoc:", err)
			os.Exit(1)
		}
	}
}

// create creates a file and fills it with write.
func create(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close() // the write error is the one to report
		return err
	}
	return file.Close()
}
