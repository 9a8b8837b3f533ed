package limits

import "time"

// bucket is a token bucket whose level may be negative.
type bucket struct {
	rate       float64 // units per second
	burst      float64
	level      float64
	refilledAt time.Time
}

// newBucket returns a bucket with the given initial level.
func newBucket(rate, burst, level float64, now time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, level: level, refilledAt: now}
}

// refill adds the units accrued at the old rate and then sets rate and burst.
func (b *bucket) refill(rate, burst float64, now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.level += elapsed * b.rate
		b.refilledAt = now
	}
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// wait returns the time until the bucket reaches a level at the current rate.
func (b *bucket) wait(level float64) time.Duration {
	if b.level >= level {
		return 0
	}
	return time.Duration((level - b.level) / b.rate * float64(time.Second))
}
