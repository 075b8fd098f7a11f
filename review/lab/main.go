// Command lab plays the scripted cases of the review. It starts the deployed programs as separate processes with the commands of
// the deploy file, and simulates the platform's store, the runners and the clients. It writes what was sent, answered and run to a
// record and exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case, so that it ends within the 120 s that a script may take.
const maxDuration = 110 * time.Second

// scenarios are the cases by name. A scenario returns the observations that break the rule of the case.
var scenarios = map[string]func(l *lab) ([]string, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(exitNotRun)
	}
	play := scenarios[os.Args[1]]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(l *lab) ([]string, error), recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	l, err := newLab(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.stop()
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(l)
		done <- outcome{broken, err}
	}()
	var result outcome
	select {
	case result = <-done:
	case <-time.After(maxDuration):
		result.err = fmt.Errorf("the case did not end within %s", maxDuration)
	}
	for _, line := range result.broken {
		rec.logf("BROKEN %s", line)
	}
	switch {
	case result.err != nil:
		rec.logf("not run: %v", result.err)
		fmt.Fprintln(os.Stderr, result.err)
		return exitNotRun
	case len(result.broken) > 0:
		fmt.Printf("broken: %d observations, the first: %s\n", len(result.broken), result.broken[0])
		return exitBroken
	}
	rec.logf("the rule held")
	fmt.Println("held")
	return exitHeld
}
