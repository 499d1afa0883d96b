package main

import (
	"fmt"
	"os"
)

// cases are the scripts by name.
var cases = map[string]func(l *lab){
	"service":  serviceCase,
	"stop":     stopCase,
	"innocent": innocentCase,
	"parts":    partsCase,
	"tenants":  tenantsCase,
}

// main takes the case, the repository's root and the file of the record. TROUBLE=0 leaves the
// disruption out.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE ROOT RECORD")
		os.Exit(2)
	}
	l, err := newLab(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	cases[os.Args[1]](l)
}
