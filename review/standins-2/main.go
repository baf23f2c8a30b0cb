//go:build review

// Command standins-2 plays a case of the review against hosts that run as separate processes on
// loopback. Clients, targets, the routers and the store are stand-ins that follow the users' pages.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

type scenario struct {
	shape shape
	play  func(f *fleet, trouble bool) error
}

var scenarios = map[string]scenario{
	"pause-and-return": {headOffice, pauseAndReturn},
	"pause-and-stop":   {headOffice, pauseAndStop},
	"foreign-entries":  {headOffice, foreignEntries},
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/oriolevalve-node", "the program of a host")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *program, *path, os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(name, program, path string, trouble bool) int {
	s, found := scenarios[name]
	if !found {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitCannotRun
	}
	// Settings and logs of the hosts.
	directory, err := os.MkdirTemp("", "oriolevalve-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(directory) }()
	r := newRecord()
	f, err := startFleet(s.shape, program, directory, r)
	go stopOnSignal(f, directory)
	if err == nil {
		err = s.play(f, trouble)
	}
	if f != nil {
		f.stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	broken, writing := r.write(path)
	switch {
	case writing != nil:
		fmt.Fprintln(os.Stderr, "the record could not be written:", writing)
		return exitCannotRun
	case err != nil:
		return exitCannotRun
	}
	fmt.Printf("%s, trouble %t: rules broken %d times\n", name, trouble, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// stopOnSignal ends all processes if this one is to end early.
func stopOnSignal(f *fleet, directory string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	if f != nil {
		f.stop()
	}
	_ = os.RemoveAll(directory)
	os.Exit(exitCannotRun)
}
