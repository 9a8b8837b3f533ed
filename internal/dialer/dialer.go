// Package dialer opens connections to peers, upstreams and the platform. Tests
// replace it by an in-memory network.
package dialer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// connectTimeout bounds the time to open a connection.
	connectTimeout = time.Second
	// maxHeadBytes is the maximum size of the head of a response.
	maxHeadBytes = 64 << 10
	// ReceiveBuffer is the size of the kernel's buffer for bytes that were received and
	// not read, in bytes; Linux doubles it. It bounds what answers hold whose callers
	// do not read them.
	ReceiveBuffer = 16 << 10
)

// KeepAlive makes the kernel close connections whose other end does not answer.
var KeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     15 * time.Second,
	Interval: 5 * time.Second,
	Count:    3,
}

// Func opens a connection to an address of the form host:port.
type Func func(ctx context.Context, address string) (net.Conn, error)

// boundedKey is the key in the context of a dial whose connection has a bounded receive
// buffer.
type boundedKey struct{}

// Bounded returns a context whose dials open connections with bounded receive buffers.
func Bounded(ctx context.Context) context.Context { return context.WithValue(ctx, boundedKey{}, true) }

// TCP opens a TCP connection.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive}
	if ctx.Value(boundedKey{}) != nil {
		// The kernel must know before it connects: it sends slowly into a window that
		// was opened wider.
		d.Control = func(_, _ string, c syscall.RawConn) error { return BoundReceiveBuffer(c) }
	}
	return d.DialContext(ctx, "tcp", address)
}

// BoundReceiveBuffer sets the receive buffer of a socket, or of the connections of a
// listening one, to ReceiveBuffer.
func BoundReceiveBuffer(c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ReceiveBuffer)
	})
	return errors.Join(err, optionErr)
}

// Host dials and listens on the network of the host that the process runs on.
type Host struct{}

// Dial opens a TCP connection.
func (Host) Dial(ctx context.Context, address string) (net.Conn, error) { return TCP(ctx, address) }

// Listen listens on a TCP address.
func (Host) Listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// Secure returns a Func that adds TLS to the connections of dial. It returns
// dial itself when config is nil.
func Secure(dial Func, config *tls.Config) Func {
	if config == nil {
		return dial
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		plain, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(plain, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, err
		}
		return secured, nil
	}
}

// Transport returns an HTTP transport over dial, without a proxy. A failed
// dial is Unreachable: the request was not sent.
//
// Its connections have bounded receive buffers. Package answer checks what arrives on them,
// and the heads of answers count towards memory. Each request opens its own connection. On
// a kept connection, a late second copy of an answer would be taken for the answer to the
// next request, and net/http would repeat some requests after the connection breaks.
func Transport(dial Func, memory answer.Memory) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dialForAnswer(ctx, dial, address, memory)
		},
		DialTLSContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			name, _, err := net.SplitHostPort(address)
			if err != nil {
				return nil, fault.Wrap(fault.Unreachable, err, "cannot connect to %s", address)
			}
			return dialForAnswer(ctx, Secure(dial, &tls.Config{ServerName: name, MinVersion: tls.VersionTLS12}), address, memory)
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Client returns a client over Transport. The answers that it reads as a whole count
// towards memory, too.
func Client(dial Func, memory answer.Memory) *answer.Client {
	return answer.NewClient(Transport(dial, memory), memory)
}

// dialForAnswer opens a connection for one request and its answer.
func dialForAnswer(ctx context.Context, dial Func, address string, memory answer.Memory) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var conn net.Conn
	// net/http dials in a goroutine of its own.
	err := group.Call(Bounded(ctx), func(ctx context.Context) (err error) {
		conn, err = dial(ctx, address)
		return err
	})
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, "cannot connect to %s", address)
	}
	return answer.NewConn(conn, memory), nil
}
