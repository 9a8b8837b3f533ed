package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, with the seconds since the
// start of the case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the file and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close flushes and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
