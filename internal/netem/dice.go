package netem

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Dice is a seeded random source that several goroutines may use.
type Dice struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// NewDice returns a source whose numbers depend only on the seed.
func NewDice(seed uint64) *Dice { return &Dice{rand: rand.New(rand.NewPCG(seed, seed))} }

// Float returns a number in [0, 1).
func (d *Dice) Float() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Float64()
}

// Below returns an integer in [0, n).
func (d *Dice) Below(n int) int { return int(d.Float() * float64(n)) }

// Duration returns a duration in [0, limit).
func (d *Dice) Duration(limit time.Duration) time.Duration {
	return time.Duration(d.Float() * float64(limit))
}
