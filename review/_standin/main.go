package main

import (
	"fmt"
	"os"
)

var scenarios = map[string]func(l *lab){}

func main() {
	os.Exit(run())
}

func run() (status int) {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		return 2
	}
	l := newLab(os.Args[2])
	defer func() {
		problem := recover()
		closed := l.close()
		if problem == nil {
			status = closed
			return
		}
		if _, ok := problem.(couldNotRun); !ok {
			fmt.Fprintln(os.Stderr, problem)
		}
		status = 2
	}()
	scenarios[os.Args[1]](l)
	return 0
}
