// Command gendoc writes the settings reference to the file that it is given.
package main

import (
	"fmt"
	"os"

	"github.com/citrongate/citrongate/internal/settings"
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

func write(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := settings.WriteReference(file); err != nil {
		return err
	}
	return file.Close()
}
