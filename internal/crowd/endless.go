package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Endless is an answer of an upstream without an end.
type Endless struct {
	// Text begins the answer. Again follows without a pause or, if Stalls is set, one byte
	// of it now and then.
	Text, Again string
	Stalls      bool
}

// stallPause is the time between two bytes of an answer that stalls.
const stallPause = 100 * time.Millisecond

// Send sends the answer until the connection is closed.
func (e Endless) Send(c net.Conn) {
	_, err := io.WriteString(c, e.Text)
	for i := 0; err == nil; i++ {
		if !e.Stalls {
			_, err = io.WriteString(c, e.Again)
			continue
		}
		time.Sleep(stallPause)
		_, err = io.WriteString(c, e.Again[i%len(e.Again):][:1])
	}
}

// Switch makes servers send an endless answer in place of their own.
type Switch struct{ answer atomic.Pointer[Endless] }

// Set sets the answer; nil stands for the servers' own.
func (s *Switch) Set(e *Endless) { s.answer.Store(e) }

// Serve sends the endless answer, and reports whether there is one.
func (s *Switch) Serve(w http.ResponseWriter, r *http.Request) bool {
	e := s.answer.Load()
	if e == nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		e.Send(c)
		_ = c.Close()
	}
	return true
}

// Wrap returns a handler that sends the endless answer to requests whose paths begin with
// prefix, and otherwise calls next.
func (s *Switch) Wrap(next http.Handler, prefix string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, prefix) || !s.Serve(w, r) {
			next.ServeHTTP(w, r)
		}
	})
}

// ShortLines returns at least size bytes of header lines of a few bytes each, which take
// many times their size when they are decoded.
func ShortLines(size int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < size; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}
