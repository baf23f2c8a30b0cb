//go:build review

package harness

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// Main runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the
// case could not run. Trouble is false if the environment has TROUBLE=0.
func Main(play func(r *Record, trouble bool) error) {
	os.Exit(run(play))
}

func run(play func(r *Record, trouble bool) error) int {
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	r, err := NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return failed
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	done := make(chan error, 1)
	go func() { done <- play(r, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case s := <-stopped:
		// The hosts end with this process.
		err = fmt.Errorf("stopped by %s", s)
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
