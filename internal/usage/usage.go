// Package usage reads how much processor time and memory the process uses.
package usage

import (
	"runtime"
	"syscall"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Usage is the resource usage of the process.
type Usage struct {
	// User and System are the processor time in user and in system mode since the
	// start of the process.
	User   time.Duration `json:"user_ns"`
	System time.Duration `json:"system_ns"`
	// Heap is the memory of heap objects, live or not yet collected, in bytes.
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

// Read returns the current usage. It stops all goroutines for some microseconds
// to read the size of the heap.
func Read() (Usage, error) {
	user, system, err := CPU()
	if err != nil {
		return Usage{}, err
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Usage{User: user, System: system, Heap: memory.HeapAlloc, Goroutines: runtime.NumGoroutine()}, nil
}
