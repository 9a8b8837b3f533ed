// Package serve runs the HTTP server of a stand-in.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/verbenapier/verbenapier/emul/internal/fault"
)

// drain is how long requests may go on after the server is told to stop.
const drain = 2 * time.Second

// headerTimeout bounds the reading of request headers.
const headerTimeout = 10 * time.Second

// Run listens on a TCP address and serves handler with the faults of sw until
// ctx ends.
func Run(ctx context.Context, log logrus.FieldLogger, address string, handler http.Handler, sw *fault.Switch) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{
		Handler: sw.Wrap(handler), ConnContext: sw.ConnContext, ReadHeaderTimeout: headerTimeout,
	}
	log.WithField("address", listener.Addr().String()).Info("listening")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain)
		defer cancel()
		if err := server.Shutdown(stop); err != nil {
			return server.Close()
		}
		return nil
	})
	return group.Wait()
}

// JSON answers with a status and a JSON body.
func JSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Error answers with a status and the error body of the interface.
func Error(w http.ResponseWriter, status int, reason string) {
	JSON(w, status, map[string]string{"error": reason})
}

// Read decodes the JSON body of a request. It answers 400 and returns false if
// the body is not valid.
func Read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		Error(w, http.StatusBadRequest, "body is not valid JSON")
		return false
	}
	return true
}
