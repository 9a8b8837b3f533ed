package detour

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

var (
	// errUnable is matched by the refusal of a peer that does not reach the upstream, although
	// it reaches others.
	errUnable = errors.New("the peer does not reach the upstream")
	// errRefused is matched by the refusal of a peer that opens no tunnels to other upstreams
	// either.
	errRefused = errors.New("the peer opens no tunnels")
)

// refusalError is the answer of a peer that opens no tunnel.
type refusalError struct{ status int }

// Error implements error.
func (e *refusalError) Error() string {
	return fmt.Sprintf("the peer answered %d %s", e.status, http.StatusText(e.status))
}

// isRefusal reports whether a peer answered and opened no tunnel.
func isRefusal(err error) bool {
	var refusal *refusalError
	return errors.As(err, &refusal)
}

// Is implements the interface of errors.Is.
func (e *refusalError) Is(target error) bool {
	switch e.status {
	case http.StatusBadGateway:
		return target == errUnable
	case http.StatusForbidden:
		return false
	}
	return target == errRefused
}

// open opens a tunnel through the peer at an address to an upstream.
func open(ctx context.Context, dial dialer.Func, peer, upstream string) (*conn, error) {
	raw, err := dial(ctx, peer)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, "peer %s was not reached", peer)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(past) })
	c := &conn{Conn: raw, reader: bufio.NewReader(raw), onLost: func() {}}
	err = c.connect(upstream)
	if !stop() {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, fault.Wrap(fault.Unreachable, err, "no tunnel through %s to %s", peer, upstream)
	}
	return c, nil
}

// connect asks the peer to connect to the upstream.
func (c *conn) connect(upstream string) error {
	if _, err := fmt.Fprintf(c.Conn, "%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", http.MethodConnect, upstream, upstream); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &refusalError{resp.StatusCode}
	}
	return nil
}
