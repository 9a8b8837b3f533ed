// Package crowd plays clients that do not behave against a process on loopback, and
// measures what the process holds meanwhile. Only tests use it.
package crowd

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/pkg/group"
)

// dialTimeout bounds the opening of a connection to a process that accepts none.
const dialTimeout = 2 * time.Second

// Crowd is a number of clients, each with an open connection.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Play starts the clients and returns when each has sent what it sends or was refused.
// The connections stay open, and the clients read no answers. The requests are given out
// in turn.
func Play(ctx context.Context, address string, clients int, b Behaviour, requests ...Request) (*Crowd, error) {
	var whole, short [][]byte
	for _, r := range requests {
		whole, short = append(whole, b.bytes(r, true)), append(short, b.bytes(r, false))
	}
	c := &Crowd{}
	g := group.New(ctx)
	for i := range clients {
		data := short[i%len(requests)]
		if i%4 == 0 {
			data = whole[i/4%len(requests)]
		}
		g.Go("client", func(ctx context.Context) error {
			// A client that is refused leaves.
			if conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address); err == nil {
				c.add(conn)
				b.send(conn, data)
			}
			return nil
		})
	}
	return c, g.Wait()
}

func (c *Crowd) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
}

// Close ends all clients.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		// The process may have closed it.
		_ = conn.Close()
	}
}
