package quota

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// freeBody is the size of a body that is held with its connection, in bytes.
	freeBody = answer.FreeBody
	// firstBuffer is the size of the first buffer for a body of unknown length.
	firstBuffer = 4 << 10
)

// BodyOptions are the limits on a request body.
type BodyOptions struct {
	// Limit is the maximum size in bytes, and Timeout the maximum time for reading.
	Limit   int64
	Timeout time.Duration
	// Factor is what the request holds for each byte of its body until it ends, in
	// bytes.
	Factor int64
	Drain  *drain.Drain
}

// ReadBody reads a request body. The hold is that of the body, and for the caller to
// release. An error is of kind
//   - TooLarge if the body exceeds the limit, at once if its length is announced;
//   - Overloaded if there is no memory for it, or there was none and the body arrived
//     slowly;
//   - RequestTimeout if it did not arrive in time;
//   - HostLeaving if the process stops;
//   - Canceled if the client has left;
//   - Invalid if it could not be read otherwise.
func (q *Quota) ReadBody(w http.ResponseWriter, r *http.Request, o BodyOptions) ([]byte, *Hold, error) {
	if r.ContentLength > o.Limit {
		return nil, nil, fault.New(fault.TooLarge, "the body has %d bytes; allowed are %d", r.ContentLength, o.Limit)
	}
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Now().Add(o.Timeout))
	}
	stop := o.Drain.Before(0, func() { _ = control.SetReadDeadline(past) })
	defer stop()
	b := bodyReader{Hold: q.Hold(r.Context()), factor: o.Factor, limit: o.Limit}
	err := b.read(r.Context(), http.MaxBytesReader(w, r.Body, o.Limit), r.ContentLength)
	// A deadline in the past would end the context of a request that was read.
	stop()
	if err != nil {
		evicted := b.evicted()
		b.Release()
		return nil, nil, o.bodyError(err, evicted)
	}
	b.conn.enter(serving)
	_ = control.SetReadDeadline(time.Time{})
	return b.data, b.Hold, nil
}

// bodyError returns the error for a body that could not be read.
func (o BodyOptions) bodyError(err error, evicted bool) error {
	var large *http.MaxBytesError
	var known *fault.Error
	switch {
	case !o.Drain.Fits(0):
		return fault.Wrap(fault.HostLeaving, err, "this host stops before the request could end")
	case errors.As(err, &known):
		return err
	case errors.As(err, &large):
		return fault.New(fault.TooLarge, "the body exceeds %d bytes", o.Limit)
	case evicted:
		return fault.New(fault.Overloaded, "the body arrived slowly while this host was short of memory")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.RequestTimeout, "the body did not arrive within %s", o.Timeout)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return fault.Wrap(fault.Canceled, err, "the body did not arrive")
	}
	return fault.Wrap(fault.Invalid, err, "the body could not be read to its end")
}

// bodyReader reads a body into memory that it holds.
type bodyReader struct {
	*Hold
	factor, limit int64
	data          []byte
}

func (b *bodyReader) evicted() bool {
	if b.conn == nil {
		return false
	}
	b.quota.mu.Lock()
	defer b.quota.mu.Unlock()
	return b.conn.evicted
}

// read reads the body; a negative length is unknown.
func (b *bodyReader) read(ctx context.Context, source io.Reader, length int64) error {
	if length >= 0 {
		if err := b.reserve(ctx, length); err != nil {
			return err
		}
		b.data = make([]byte, length)
		_, err := io.ReadFull(source, b.data)
		return err
	}
	b.data = make([]byte, 0, min(firstBuffer, b.limit+1))
	for {
		n, err := source.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if len(b.data) == cap(b.data) {
			if err := b.enlarge(ctx); err != nil {
				return err
			}
		}
	}
}

// enlarge doubles the buffer.
func (b *bodyReader) enlarge(ctx context.Context) error {
	before := b.bytes
	size := min(2*int64(cap(b.data)), b.limit+1)
	if err := b.reserve(ctx, size); err != nil {
		return err
	}
	b.data = append(make([]byte, 0, size), b.data...)
	b.shrinkBody(before)
	return nil
}

// reserve reserves the memory for a buffer.
func (b *bodyReader) reserve(ctx context.Context, size int64) error {
	if size <= freeBody {
		return nil
	}
	n := size * b.factor
	if err := b.Grow(ctx, n); err != nil {
		return err
	}
	b.countBody(n)
	return nil
}

func (b *bodyReader) shrinkBody(n int64) {
	b.Shrink(n)
	b.countBody(-n)
}

// countBody records what the connection holds for its body, for the choice of those that
// give way.
func (b *bodyReader) countBody(n int64) {
	if b.conn == nil {
		return
	}
	b.quota.mu.Lock()
	defer b.quota.mu.Unlock()
	b.conn.bodyHeld += n
}

// ReadAll reads up to limit bytes into memory that grow, which is TryGrow or calls Grow,
// reserves. It ends early if there is no memory; whole reports whether the end of the
// source was reached.
func (h *Hold) ReadAll(source io.Reader, limit int64, grow func(n int64) bool) (data []byte, whole bool, err error) {
	base := h.bytes
	return answer.ReadAll(source, limit, func(n int64) bool {
		more := base + n - h.bytes
		if more > 0 {
			return grow(more)
		}
		h.Shrink(-more)
		return true
	})
}
