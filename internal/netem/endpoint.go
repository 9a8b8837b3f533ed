package netem

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// headerSize is the assumed size of the jsonrpc2 envelope of a message, in
// bytes, without its method and its body.
const headerSize = 64

// Endpoint is a node's connection to the network. It implements wire.Caller.
type Endpoint struct {
	name, address string
	network       *Network
	mux           *wire.Mux
	group         *group.Group

	mu sync.Mutex
	// running is a closed channel unless the node is paused; resume closes it.
	running chan struct{}

	// counters holds the numbers of messages sent and received, then those of
	// bytes sent and received.
	counters [4]atomic.Int64
}

var _ wire.Caller = (*Endpoint)(nil)

// Traffic counts the messages and bytes of a node. Requests and replies count
// as one message each.
type Traffic struct {
	MessagesOut, MessagesIn, BytesOut, BytesIn int64
}

// Traffic returns the counters since the node was attached.
func (e *Endpoint) Traffic() Traffic {
	return Traffic{
		MessagesOut: e.counters[0].Load(), MessagesIn: e.counters[1].Load(),
		BytesOut: e.counters[2].Load(), BytesIn: e.counters[3].Load(),
	}
}

// Name returns the node's name.
func (e *Endpoint) Name() string { return e.name }

// Address returns the node's peer address.
func (e *Endpoint) Address() string { return e.address }

// Context returns the context that ends when the node is killed or replaced.
func (e *Endpoint) Context() context.Context { return e.group.Context() }

func (e *Endpoint) ended() <-chan struct{} { return e.group.Context().Done() }

// Call sends a request and decodes the reply into result. It fails with
// Unreachable if no node listens at the address, with ReplyLost if the peer ends
// while it handles the request, and with Timeout if the request or the reply is
// lost.
func (e *Endpoint) Call(ctx context.Context, address, method string, params, result any) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return fault.New(fault.Internal, "call of %s without a deadline", method)
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode %s", method)
	}
	if err := e.waitRunning(); err != nil {
		return err
	}
	reply, err := e.exchange(ctx, deadline, address, method, raw)
	if endErr := e.waitRunning(); endErr != nil {
		return endErr
	}
	if err != nil {
		return err
	}
	if result == nil || len(reply) == 0 {
		return nil
	}
	return fault.Wrap(fault.Internal, json.Unmarshal(reply, result), "decode the reply of %s", method)
}

// callResult is the encoded reply of a handler, or its error.
type callResult struct {
	raw []byte
	err error
}

// exchange sends an encoded request to the node at an address, runs the handler there
// and returns the encoded reply. It simulates delay and loss in both directions.
func (e *Endpoint) exchange(ctx context.Context, deadline time.Time, address, method string, raw []byte) ([]byte, error) {
	peer := e.network.nameAt(address)
	size := len(raw) + len(method) + headerSize
	e.count(0, size)
	delay, lost := e.network.transit(e.name, peer)
	if lost {
		return nil, e.expire(ctx)
	}
	if sleep(ctx, delay) != nil {
		return nil, e.expire(ctx)
	}
	target, err := e.network.lookup(address)
	if err != nil {
		if replyDelay, lost := e.network.transit(peer, e.name); lost || sleep(ctx, replyDelay) != nil {
			return nil, e.expire(ctx)
		}
		return nil, err
	}
	target.count(1, size)
	replies := make(chan callResult, 1)
	target.group.Go("handle "+method, func(ctx context.Context) error {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		target.handle(ctx, e, method, raw, replies)
		return nil
	})
	select {
	case result := <-replies:
		return result.raw, result.err
	case <-ctx.Done():
		return nil, e.expire(ctx)
	case <-target.ended():
		return nil, fault.New(fault.ReplyLost, "node %s ended while handling %s", target.name, method)
	}
}

// handle runs the handler of the method and sends the reply, unless the network
// loses it or the deadline of the call passes first.
func (e *Endpoint) handle(ctx context.Context, from *Endpoint, method string, raw []byte, replies chan<- callResult) {
	if e.waitRunning() != nil {
		return
	}
	var reply []byte
	result, err := e.mux.Serve(ctx, from.name, method, raw)
	if err != nil {
		err = fault.New(fault.KindOf(err), "%s", fault.MessageOf(err))
	} else if reply, err = json.Marshal(result); err != nil {
		err = fault.Wrap(fault.Internal, err, "encode the reply of %s", method)
	}
	if e.waitRunning() != nil {
		return
	}
	size := len(reply) + headerSize
	e.count(0, size)
	delay, lost := e.network.transit(e.name, from.name)
	if lost || sleep(ctx, delay) != nil {
		return
	}
	from.count(1, size)
	replies <- callResult{reply, err}
}

// expire blocks until the context of the call or the node ends, and returns the
// error of a call without a reply.
func (e *Endpoint) expire(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fault.Wrap(fault.KindOf(ctx.Err()), ctx.Err(), "no reply")
	case <-e.ended():
		return fault.New(fault.Unreachable, "node %s ended", e.name)
	}
}

// waitRunning blocks while the node is paused and fails when the node has ended.
func (e *Endpoint) waitRunning() error {
	for e.group.Context().Err() == nil {
		e.mu.Lock()
		running := e.running
		e.mu.Unlock()
		select {
		case <-running:
			if !e.paused() {
				return nil
			}
		case <-e.ended():
		}
	}
	return fault.New(fault.Unreachable, "node %s ended", e.name)
}

func (e *Endpoint) paused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.running:
		return false
	default:
		return true
	}
}

func (e *Endpoint) pause() {
	if e.paused() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = make(chan struct{})
}

func (e *Endpoint) resume() {
	if !e.paused() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.running)
}

// count counts a message of size bytes; direction is 0 for sent and 1 for
// received.
func (e *Endpoint) count(direction, size int) {
	e.counters[direction].Add(1)
	e.counters[direction+2].Add(int64(size))
}
