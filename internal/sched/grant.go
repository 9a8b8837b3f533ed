package sched

import (
	"time"

	"github.com/verbenapier/verbenapier/pkg/queue"
)

// grant is the scheduler's record of a Grant.
type grant struct {
	id          string
	request     requestKey
	entry       string
	org         string
	fingerprint string
	class       class
	memoryClass class
	alone       bool
	reservation string
	shares      []engineShare
	weight      float64
	// chargedWork is the work charged to the organisation for the prompt and the
	// expected answer, cachedTokens the part of the prompt that was expected in
	// the leader's cache.
	chargedWork                           float64
	promptTokens, maxTokens, cachedTokens int
	prefixes                              []string
	// predictedFirstToken is the predicted time to first token in seconds,
	// prefillEnd the predicted end of the prefill in seconds since the epoch.
	predictedFirstToken, prefillEnd float64
	grantedAt, expiresAt            time.Time
	expiryNode                      *queue.Node[*grant]
	// lapsed means that the grant was not renewed. Its memory stays booked until
	// the engine no longer lists the stream, for at most one more lifetime.
	lapsed bool
	// memberLost means that an engine other than the leader was lost. Renew then
	// reports the grant to the entry node as unknown. endingSince is when the grant
	// lapsed or lost a member.
	memberLost  bool
	endingSince time.Time
	// response is the grant as sent to the entry node.
	response Grant
}

// engineShare is the memory of a grant on one engine. The first share of a grant is
// on its leader, the others are on its members.
type engineShare struct {
	engine *engineState
	tokens int
}

// tokensOn returns the memory of the grant on an engine.
func (g *grant) tokensOn(e *engineState) int {
	for _, sh := range g.shares {
		if sh.engine == e {
			return sh.tokens
		}
	}
	return 0
}

// leader is the engine that runs the stream.
func (g *grant) leader() *engineState { return g.shares[0].engine }

// ending reports whether the grant is kept only until its stream has ended.
func (g *grant) ending() bool { return g.lapsed || g.memberLost }
