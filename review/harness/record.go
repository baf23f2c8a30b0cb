//go:build review

package harness

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that tells what was sent, answered and run, with the seconds since
// its start.
type Record struct {
	mutex      sync.Mutex
	file       *os.File
	buffer     *bufio.Writer
	started    time.Time
	violations []string
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, buffer: bufio.NewWriter(file), started: time.Now()}, nil
}

// Write adds a line.
func (r *Record) Write(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// A record that can't be written shows when it is closed.
	_, _ = fmt.Fprintf(r.buffer, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// Violate adds a line about a broken rule.
func (r *Record) Violate(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.Write("BROKEN %s", text)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%.3f s: %s", time.Since(r.started).Seconds(), text))
}

// Violations returns the broken rules.
func (r *Record) Violations() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string(nil), r.violations...)
}

// Close ends the file.
func (r *Record) Close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.buffer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
