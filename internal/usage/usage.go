// Package usage reads what the process uses of its host.
package usage

import (
	"runtime"
	"syscall"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Usage is what the process has used or holds.
type Usage struct {
	// User and System are processor time since the start.
	User   time.Duration `json:"user_ns"`
	System time.Duration `json:"system_ns"`
	// Heap is the memory of live and not yet collected objects, in bytes.
	Heap       uint64 `json:"heap_bytes"`
	Goroutines int    `json:"goroutines"`
}

// CPU returns the processor time of the process in user and in system mode.
func CPU() (user, system time.Duration, err error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0, 0, fault.Wrap(fault.Internal, err, "reading the processor time")
	}
	return time.Duration(r.Utime.Nano()), time.Duration(r.Stime.Nano()), nil
}

// Read returns the present usage. It stops the program for some microseconds
// to read the heap.
func Read() (Usage, error) {
	user, system, err := CPU()
	if err != nil {
		return Usage{}, err
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Usage{User: user, System: system, Heap: memory.HeapAlloc, Goroutines: runtime.NumGoroutine()}, nil
}
