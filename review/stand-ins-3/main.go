package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// trouble says which parts of a disruption are played; all, unless TROUBLE names one or is 0.
type trouble string

func (t trouble) includes(part string) bool { return t == "" || t == trouble(part) }

// cases are the scripts by name.
var cases = map[string]func(w *world, t trouble) error{
	"lost-memory": lostMemory,
	"strangers":   strangers,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE FOLDER")
		os.Exit(2)
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], trouble(os.Getenv("TROUBLE"))))
}

// runLimit bounds a script, which ends all processes that it started.
const runLimit = 110 * time.Second

// endEarly ends the script on a signal or when it takes too long.
func endEarly(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(runLimit):
	}
	w.close()
	os.Exit(2)
}

// run plays a case and returns the exit code: 1 if a rule was broken, 0 if it held and 2 if the case
// could not run.
func run(play func(w *world, t trouble) error, folder string, t trouble) int {
	w, err := newWorld(folder, "a", "b", "c")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	defer w.close()
	go endEarly(w)
	if err := play(w, t); err != nil {
		w.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	fmt.Printf("rules broken: %d; flows whose opening packet several targets took: %d of %d\n", w.violations, w.contested(), len(w.flows))
	if w.violations > 0 {
		return 1
	}
	return 0
}
