package detour

import (
	"context"
	"errors"
	"net"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// errNoPeer is the error of a host that knows no peer that is alive.
var errNoPeer = errors.New("there is no peer to connect through")

// attempt is the result of one attempt to connect, directly if peer is empty.
type attempt struct {
	peer string
	conn net.Conn
	err  error
}

// race is a set of attempts to connect to an address.
type race struct {
	dialer  *Dialer
	address string
	// direct is set if the first attempt is a direct one.
	direct bool
	// attempts receives the results, and pending is the number of those to come.
	attempts chan attempt
	pending  int
	// peers holds those that were not asked, once chosen, and tried is the number of those
	// that were and did not refuse.
	peers  []member.Member
	chosen bool
	tried  int
	errs   []error
	// directErr is the error of the direct attempt.
	directErr error
	// unable holds the peers that did not reach the upstream, although they reach others.
	unable []string
	// viaPeer is set if a peer connected.
	viaPeer bool
}

// startDirect starts the direct attempt. It goes on after the race: whether it connects
// shows whether this host reaches the upstream.
func (r *race) startDirect(ctx context.Context) {
	r.start("", func() (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
		defer cancel()
		return r.dialer.options.Reach.dial(ctx, r.dialer.options.Dial, r.address)
	})
}

// startPeer starts the attempt through the next peer, if there is one.
func (r *race) startPeer(ctx context.Context) {
	if !r.chosen {
		r.peers, r.chosen = r.dialer.peers.choose(), true
	}
	if len(r.peers) == 0 || r.tried >= maxPeers {
		return
	}
	r.tried++
	peer := r.peers[0]
	r.peers = r.peers[1:]
	r.start(peer.Name, func() (net.Conn, error) { return r.dialer.open(ctx, peer, r.address) })
}

func (r *race) start(peer string, connect func() (net.Conn, error)) {
	r.pending++
	d := r.dialer
	d.options.Group.Go("dial", func(ctx context.Context) error {
		a := attempt{peer: peer}
		err := guard.Do(ctx, d.options.Log, "dial", func(context.Context) (err error) {
			a.conn, err = connect()
			return err
		})
		a.err = err
		r.attempts <- a
		return nil
	})
}

// record records a result and reports whether the attempt connected.
func (r *race) record(a attempt) bool {
	r.pending--
	if a.err == nil {
		r.viaPeer = a.peer != ""
		return true
	}
	r.errs = append(r.errs, a.err)
	switch {
	case a.peer == "":
		r.directErr = a.err
	case errors.Is(a.err, errUnable):
		r.unable = append(r.unable, a.peer)
	case errors.Is(a.err, errRefused):
		r.tried--
	}
	return false
}

// finish records what the race shows, and closes the connections of the attempts that
// have no result yet.
func (r *race) finish() {
	if r.viaPeer {
		// The upstream is reached, so these peers are cut.
		for _, peer := range r.unable {
			r.dialer.peers.failed(peer)
		}
		r.recordDirect()
	}
	if r.pending == 0 {
		return
	}
	r.dialer.options.Group.Go("late dials", guard.Task(r.dialer.options.Log, "late dials", func(context.Context) error {
		for ; r.pending > 0; r.pending-- {
			a := <-r.attempts
			switch {
			case a.err == nil:
				_ = a.conn.Close()
			case a.peer == "":
				r.directErr = a.err
			}
		}
		if r.viaPeer {
			r.recordDirect()
		}
		return nil
	}))
}

// recordDirect records that the direct attempt failed although a peer connected.
func (r *race) recordDirect() {
	if r.directErr != nil {
		r.dialer.options.Reach.recordUnreached(r.address, r.directErr.Error())
		r.directErr = nil
	}
}

// failure returns the error of a race in which no attempt connected.
func (r *race) failure(errs ...error) error {
	errs = append(r.errs, errs...)
	if len(errs) == 0 {
		errs = append(errs, errNoPeer)
	}
	return fault.Wrap(fault.Unreachable, errors.Join(errs...), "no connection to %s", r.address)
}
