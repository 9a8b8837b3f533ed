package sched

import (
	"time"

	"github.com/verbenapier/verbenapier/pkg/queue"
)

// grant is the book entry of a Grant.
type grant struct {
	id          string
	request     requestKey
	entry       string
	org         string
	fingerprint string
	class       class
	pool        class
	alone       bool
	reservation string
	shares      []share
	weight      float64
	// work was charged for prompt and expected answer tokens; cached prompt tokens were expected on the leader.
	work                  float64
	prompt, limit, cached int
	prefixes              []string
	// predicted is the time to first token in seconds, prefillEnd the end of
	// the prefill in seconds since the epoch.
	predicted, prefillEnd float64
	granted, expires      time.Time
	node                  *queue.Node[*grant]
	// lapsed grants were not renewed; their memory stays booked until the
	// engine no longer lists the stream.
	lapsed bool
	// broken grants lost a member: their entry node is told that they are not
	// known any more. lapse is when the grant lapsed or broke.
	broken bool
	lapse  time.Time
	wire   Grant
}

// share is the memory of a grant on one engine.
type share struct {
	slot   *slot
	tokens int
}

func (g *grant) tokensOn(e *slot) int {
	for _, sh := range g.shares {
		if sh.slot == e {
			return sh.tokens
		}
	}
	return 0
}

func (g *grant) leader() *slot { return g.shares[0].slot }

// ending reports whether the grant is only kept until its stream is gone.
func (g *grant) ending() bool { return g.lapsed || g.broken }
