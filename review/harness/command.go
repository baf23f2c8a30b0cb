//go:build review

package harness

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// caseLimit bounds a run, under the 120 s that a script may take.
const caseLimit = 117 * time.Second

// Main runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the
// case could not run. Trouble is what the flag of that name says.
func Main(play func(r *Record, trouble bool) error) {
	os.Exit(run(play))
}

func run(play func(r *Record, trouble bool) error) int {
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption; without it the case does the same in calm")
	flag.Parse()
	r, err := NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return failed
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	done := make(chan error, 1)
	go func() { done <- play(r, *trouble) }()
	select {
	case err = <-done:
	case s := <-stopped:
		err = fmt.Errorf("stopped by %s", s)
		closeFleets()
	case <-time.After(caseLimit):
		err = fmt.Errorf("not over after %s", caseLimit)
		closeFleets()
	}
	violations := r.Violations()
	for _, v := range violations {
		fmt.Println("broken:", v)
	}
	if closing := r.Close(); err == nil {
		err = closing
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "error:", err)
		return failed
	case len(violations) > 0:
		return broken
	default:
		fmt.Println("held")
		return held
	}
}
