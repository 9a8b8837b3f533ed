package place

import (
	"context"
	"time"

	"github.com/verbenapier/verbenapier/internal/wire"
)

// MethodPermit is the peer call that asks for a request to a limited server of a plain
// service. The calls for one service go to one node, so that the requests of all nodes
// together stay within the limit.
const MethodPermit = "place.permit"

// permitReply is the result of MethodPermit. The request is permitted if Wait is zero.
type permitReply struct {
	Wait time.Duration `json:"wait_ns"`
}

func (c *Client) registerPermits(m *wire.Mux) {
	m.Handle(MethodPermit, wire.Typed(func(_ context.Context, _ string, limit knownLimit) (permitReply, error) {
		return c.permit(limit), nil
	}))
}

// permit gives out a request to a server for all nodes, by the limit that the node knows
// which asks.
func (c *Client) permit(limit knownLimit) permitReply {
	c.permits.update(limit)
	return permitReply{c.permits.take(limit.Process)}
}

// awaitPermit returns zero if a server may get a request now, otherwise how long to
// wait. If the node that gives out the requests does not answer, this node uses an
// equal part of the limit.
func (c *Client) awaitPermit(ctx context.Context, service string, u Upstream) time.Duration {
	process := u.Process()
	known, limited := c.limits.find(process)
	if !limited {
		return 0
	}
	for range maxOwnersAsked {
		owner, ok := c.owner("permits/" + service)
		if !ok {
			break
		}
		if c.isSelf(owner) {
			return c.permit(known).Wait
		}
		callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
		var reply permitReply
		err := c.options.Caller.Call(callCtx, owner.PeerAddress, MethodPermit, known, &reply)
		cancel()
		if err == nil {
			return reply.Wait
		}
		c.barOwner(owner, Request{Cell: "permits/" + service}, err)
	}
	return c.limits.take(process)
}
