// Package serve runs the HTTP server of a stand-in, a program that takes the place of
// an engine, a plain service or the platform in tests.
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

// shutdownTimeout is how long running requests may still take after the server has
// begun to shut down.
const shutdownTimeout = 2 * time.Second

// headerTimeout is the time limit for reading the headers of a request.
const headerTimeout = 10 * time.Second

// Run listens on a TCP address and serves handler until ctx ends. The requests are
// subject to faults.
func Run(ctx context.Context, log logrus.FieldLogger, address string, handler http.Handler, faults *fault.Switch) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{
		Handler: faults.Wrap(handler), ConnContext: faults.ConnContext, ReadHeaderTimeout: headerTimeout,
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
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
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

// Error answers with a status and a JSON body that holds the reason.
func Error(w http.ResponseWriter, status int, reason string) {
	JSON(w, status, map[string]string{"error": reason})
}

// ReadJSON decodes the JSON body of a request. If the body is not valid, it answers
// 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		Error(w, http.StatusBadRequest, "body is not valid JSON")
		return false
	}
	return true
}
