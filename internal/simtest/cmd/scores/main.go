// Command scores prints the days of committed journal entries as Markdown tables, for
// docs/CAPACITY.md. It reads the entries that the bench wrote and computes nothing but
// differences of marks.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
)

func main() {
	dir := flag.String("journal", "journal", "folder of the journal")
	flag.Usage = func() {
		fmt.Fprintln(os.Stderr, "usage: scores [-journal DIR] ID...\nprints the days of the journal entries with these ids")
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() == 0 {
		flag.Usage()
		os.Exit(2)
	}
	for _, id := range flag.Args() {
		if err := printEntry(os.Stdout, *dir, id); err != nil {
			fmt.Fprintln(os.Stderr, "scores:", err)
			os.Exit(1)
		}
	}
}

// printEntry prints the table of the entry with the id.
func printEntry(out io.Writer, dir, id string) error {
	e, err := readEntry(dir, id)
	if err != nil {
		return err
	}
	return e.write(out)
}
