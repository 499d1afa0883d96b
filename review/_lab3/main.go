// Command cases runs one case of the review on a small deployment. It ends with status 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Results of a case, as the exit status.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

const (
	// recordEnv names the file that the record is written to.
	recordEnv = "RECORD"
	// longest bounds the time of a case.
	longest = 110 * time.Second
)

var cases = map[string]func(l *Lab, trouble bool) (int, error){
	"restart": restart, "silent": silent, "drill": drill, "parts": parts, "added": added,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "name one case")
		return couldNot
	}
	l, err := New(os.Getenv(recordEnv))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer l.Close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		l.Note("the case was ended before its time")
		l.Close()
		os.Exit(couldNot)
	}()
	status, err := cases[os.Args[1]](l, os.Getenv("TROUBLE") != "0")
	if err != nil {
		l.Note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	return status
}
