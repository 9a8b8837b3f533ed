package wire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/certs"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/usage"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// loopback is a server that answers "echo" over mutual TLS on a loopback
// socket, and a dialer to it.
type loopback struct {
	address string
	dial    dialer.Func
	group   *group.Group
	// bytes counts both directions of the dialer's connections.
	bytes atomic.Int64
}

func newLoopback(b *testing.B) *loopback {
	authority, err := certs.Authority("authority", 2*time.Hour)
	require.NoError(b, err)
	node, err := certs.Node(authority, "node", []net.IP{net.IPv4(127, 0, 0, 1)}, time.Hour)
	require.NoError(b, err)
	pair, err := tls.X509KeyPair(node.Certificate, node.Key)
	require.NoError(b, err)
	pool := x509.NewCertPool()
	require.True(b, pool.AppendCertsFromPEM(authority.Certificate))
	config := &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, ServerName: "node",
	}
	mux := NewMux()
	mux.Handle("echo", Typed(func(_ context.Context, _ string, p echoParams) (echoParams, error) { return p, nil }))
	listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	l := &loopback{address: listener.Addr().String(), group: group.New(b.Context())}
	l.dial = dialer.Secure(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialer.TCP(ctx, address)
		return dialer.CountedConn{Conn: conn, Bytes: &l.bytes}, err
	}, config)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	server := NewServer(l.group, mux, config, log)
	l.group.Go("serve", func(ctx context.Context) error { return server.Serve(ctx, listener) })
	b.Cleanup(func() {
		l.group.Stop()
		require.NoError(b, l.group.Wait())
	})
	return l
}

// measure runs op in the benchmark loop and reports processor time and bytes on
// the socket per operation.
func (l *loopback) measure(b *testing.B, op func()) {
	user, system, _ := usage.CPU()
	bytes := l.bytes.Load()
	for b.Loop() {
		op()
	}
	userEnd, systemEnd, _ := usage.CPU()
	b.ReportMetric(float64(userEnd-user)/float64(b.N), "user-ns/op")
	b.ReportMetric(float64(systemEnd-system)/float64(b.N), "sys-ns/op")
	b.ReportMetric(float64(l.bytes.Load()-bytes)/float64(b.N), "socket-B/op")
}

// BenchmarkCall measures one call over mutual TLS for several sizes of its
// parameters, which the answer repeats. Both ends run in this process.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{64, 256, 1 << 10, 4 << 10, 16 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			l := newLoopback(b)
			client := NewClient(l.group, l.dial)
			params := echoParams{Text: strings.Repeat("x", size)}
			call := func() {
				ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
				defer cancel()
				var result echoParams
				if err := client.Call(ctx, l.address, "echo", params, &result); err != nil {
					b.Fatal(err)
				}
			}
			call()
			l.measure(b, call)
		})
	}
}

// BenchmarkConnect measures a new connection with its mutual TLS handshake and
// one small call, as after the loss of a connection. Both ends run in this process.
func BenchmarkConnect(b *testing.B) {
	l := newLoopback(b)
	client := NewClient(l.group, l.dial)
	l.measure(b, func() {
		ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
		defer cancel()
		var result echoParams
		if err := client.Call(ctx, l.address, "echo", echoParams{}, &result); err != nil {
			b.Fatal(err)
		}
		client.Disconnect(l.address)
	})
}

// BenchmarkConnections measures the memory of open idle connections: heap and
// stacks of both ends, without the buffers of the kernel.
func BenchmarkConnections(b *testing.B) {
	for _, peers := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			l := newLoopback(b)
			client := NewClient(l.group, func(ctx context.Context, _ string) (net.Conn, error) { return l.dial(ctx, l.address) })
			var used int64
			for b.Loop() {
				before := memoryInUse()
				for i := range peers {
					ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
					var result echoParams
					err := client.Call(ctx, fmt.Sprint("peer", i), "echo", echoParams{}, &result)
					cancel()
					if err != nil {
						b.Fatal(err)
					}
				}
				used += int64(memoryInUse()) - int64(before)
				for i := range peers {
					client.Disconnect(fmt.Sprint("peer", i))
				}
			}
			b.ReportMetric(float64(used)/float64(b.N)/float64(peers), "B/connection")
		})
	}
}

// memoryInUse returns the bytes of live heap objects and of stacks.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
