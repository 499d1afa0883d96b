// Command gendoc writes the page on log lines to the file named by its argument.
package main

import (
	"fmt"
	"os"

	"github.com/citrongate/citrongate/internal/eventlog"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: gendoc FILE")
		os.Exit(2)
	}
	if err := write(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "gendoc:", err)
		os.Exit(1)
	}
}

func write(name string) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := eventlog.WriteDoc(file); err != nil {
		_ = file.Close() // the error of the write is returned
		return err
	}
	return file.Close()
}
