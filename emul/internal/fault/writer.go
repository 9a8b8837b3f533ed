package fault

import (
	"context"
	"io"
	"net/http"
)

// maxBody bounds a fault state.
const maxBody = 1 << 16

func readAll(r *http.Request) ([]byte, error) { return io.ReadAll(io.LimitReader(r.Body, maxBody)) }

// writer holds back what a handler writes while its connection is silent or the
// stand-in is frozen, and closes the connection in place of a lost reply.
type writer struct {
	http.ResponseWriter
	sw   *Switch
	ctx  context.Context
	lose bool
}

// hold returns the error of the request's context if that ended while the
// writer was held back.
func (w *writer) hold() error {
	if w.lose {
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
	if w.hold() == nil {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *writer) Write(b []byte) (int, error) {
	if err := w.hold(); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(b)
}

// FlushError is called by http.ResponseController.
func (w *writer) FlushError() error {
	if err := w.hold(); err != nil {
		return err
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}
