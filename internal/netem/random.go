package netem

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Random is a seeded random source that several goroutines may use.
type Random struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// NewRandom returns a source whose numbers depend only on the seed.
func NewRandom(seed uint64) *Random { return &Random{rand: rand.New(rand.NewPCG(seed, seed))} }

// Float64 returns a number in [0, 1).
func (r *Random) Float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Float64()
}

// IntN returns an integer in [0, n). n must be positive.
func (r *Random) IntN(n int) int { return int(r.Float64() * float64(n)) }

// Duration returns a duration in [0, limit).
func (r *Random) Duration(limit time.Duration) time.Duration {
	return time.Duration(r.Float64() * float64(limit))
}
