package limits

import "time"

// bucket is a token bucket whose level may go below zero.
type bucket struct {
	rate  float64 // units per second
	burst float64
	level float64
	at    time.Time
}

// newBucket returns a bucket with a level.
func newBucket(rate, burst, level float64, now time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, level: level, at: now}
}

// refill adds what has accrued and takes over a changed rate.
func (b *bucket) refill(rate, burst float64, now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level += elapsed * b.rate
		b.at = now
	}
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// wait returns the time until the level reaches a value.
func (b *bucket) wait(level float64) time.Duration {
	if b.level >= level {
		return 0
	}
	return time.Duration((level - b.level) / b.rate * float64(time.Second))
}
