package answer

import (
	"errors"
	"io"
	"sync"
)

// Memory bounds what answers that are being read make the process hold together, in bytes.
// *semaphore.Weighted is one.
type Memory interface {
	TryAcquire(n int64) bool
	Release(n int64)
}

// Hold is the part of a Memory that one answer takes.
type Hold struct {
	memory Memory

	mu       sync.Mutex
	bytes    int64
	released bool
}

// NewHold returns a hold of nothing.
func NewHold(memory Memory) *Hold { return &Hold{memory: memory} }

// Set makes the hold n bytes. It reports whether there is memory for that.
func (h *Hold) Set(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch more := n - h.bytes; {
	case more > 0:
		if h.released || !h.memory.TryAcquire(more) {
			return false
		}
	case more < 0:
		h.memory.Release(-more)
	}
	h.bytes = n
	return true
}

// Release ends the hold.
func (h *Hold) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	if h.bytes > 0 {
		h.memory.Release(h.bytes)
		h.bytes = 0
	}
}

const (
	// FreeBody is the size of a buffer for a body that is not counted, in bytes.
	FreeBody = 16 << 10
	// firstBuffer is the size of the first buffer for a body, in bytes.
	firstBuffer = 4 << 10
)

// ReadAll reads up to limit bytes. It calls reserve with the size of its buffers, in
// bytes, whenever that changes, and ends early if reserve returns false; whole reports
// whether the end of the source was reached.
func ReadAll(source io.Reader, limit int64, reserve func(n int64) bool) (data []byte, whole bool, err error) {
	data = make([]byte, 0, min(firstBuffer, limit))
	for {
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
		if int64(len(data)) == limit {
			return data, false, nil
		}
		if len(data) < cap(data) {
			continue
		}
		before, size := int64(cap(data)), min(2*int64(cap(data)), limit)
		if !reserve(counted(before) + counted(size)) {
			return data, false, nil
		}
		data = append(make([]byte, 0, size), data...)
		if !reserve(counted(size)) {
			return data, false, nil
		}
	}
}

// counted returns the part of a buffer's size that is counted.
func counted(size int64) int64 {
	if size <= FreeBody {
		return 0
	}
	return size
}
