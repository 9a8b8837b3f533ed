package sched

import "time"

// grant is the book entry of a Grant.
type grant struct {
	id          string
	request     requestKey
	entry       string
	org         string
	fingerprint string
	class       class
	alone       bool
	reservation string
	shares      []share
	work        float64
	prompt      int
	granted     time.Time
	expires     time.Time
	// lapsed grants were not renewed; their memory stays booked until the
	// engine no longer lists the stream.
	lapsed bool
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

// matches reports whether an engine's stream or reservation id belongs to the
// grant.
func (g *grant) matches(id string) bool {
	return id != "" && (id == g.id || id == g.request.id || id == g.reservation)
}
