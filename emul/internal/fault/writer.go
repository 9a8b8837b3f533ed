package fault

import (
	"context"
	"io"
	"net/http"
)

// maxBody is the maximum size of a fault state in bytes.
const maxBody = 1 << 16

func readAll(r *http.Request) ([]byte, error) { return io.ReadAll(io.LimitReader(r.Body, maxBody)) }

// writer blocks the writes of a handler while its connection is silent or the
// stand-in is frozen. It closes the connection instead of sending a reply that is
// to be lost.
type writer struct {
	http.ResponseWriter
	sw        *Switch
	ctx       context.Context
	loseReply bool
}

// wait blocks until the handler may write. If the request's context ends first, it
// returns the error of the context. If the reply is to be lost, it aborts the
// handler.
func (w *writer) wait() error {
	if w.loseReply {
		panic(http.ErrAbortHandler)
	}
	if w.sw.isSilent(w.ctx) {
		<-w.ctx.Done()
		return w.ctx.Err()
	}
	return w.sw.Wait(w.ctx)
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if w.wait() == nil {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *writer) Write(b []byte) (int, error) {
	if err := w.wait(); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(b)
}

// FlushError implements the flushing of http.ResponseController.
func (w *writer) FlushError() error {
	if err := w.wait(); err != nil {
		return err
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}
