package wire

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/group"
)

// echoTunnels sends back what arrives.
type echoTunnels struct{}

func (echoTunnels) ServeTunnel(_ context.Context, conn net.Conn) {
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

// Guards against tunnels that take the connections of messages, that miss their first
// bytes, or that keep a server from stopping.
func TestTunnelsBesideMessages(t *testing.T) {
	pipes, g := newPipes(), group.New(t.Context())
	mux := NewMux()
	mux.Handle("echo", Typed(func(_ context.Context, _, text string) (string, error) { return text, nil }))
	server := NewServer(g, mux, nil, NewClient(g, pipes.dial).log)
	server.SetTunnels(echoTunnels{})
	g.Go("server", func(ctx context.Context) error { return server.Serve(ctx, pipes) })

	client := NewClient(g, pipes.dial)
	// The lengths of messages have one byte, and two.
	for _, text := range []string{"CONNECT", string(make([]byte, 200))} {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		var answer string
		require.NoError(t, client.Call(ctx, "peer", "echo", text, &answer))
		cancel()
		require.Equal(t, text, answer)
	}
	const request = "CONNECT upstream:80 HTTP/1.1\r\n\r\n"
	tunnel, err := pipes.dial(t.Context(), "peer")
	require.NoError(t, err)
	g.Go("tunnel", func(context.Context) error {
		_, err := io.WriteString(tunnel, request)
		return err
	})
	answer := make([]byte, len(request))
	_, err = io.ReadFull(tunnel, answer)
	require.NoError(t, err)
	require.Equal(t, request, string(answer))
	// One that sends nothing, and one that has sent half of what shows what it is.
	for _, start := range []string{"", "C"} {
		idle, err := pipes.dial(t.Context(), "peer")
		require.NoError(t, err)
		_, err = io.WriteString(idle, start)
		require.NoError(t, err)
	}
	g.Stop()
	require.NoError(t, g.WaitFor(time.Minute))
}
