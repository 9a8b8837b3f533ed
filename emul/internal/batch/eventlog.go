package batch

import (
	"math/rand/v2"
	"time"
)

// eventLogSize is the number of cache events that stay when old ones are dropped. They
// are dropped when the log exceeds twice this size. A reader that has not yet read a
// dropped event sees a gap in the sequence numbers.
const eventLogSize = 8192

// eventLog publishes cache events after a delay. It loses a random share of the events:
// their sequence numbers are missing.
type eventLog struct {
	delay     time.Duration
	lossShare float64
	rng       *rand.Rand
	seq       uint64
	events    []timedEvent
}

type timedEvent struct {
	Event
	at time.Time
}

func newEventLog(delay time.Duration, lossShare float64, seed uint64) *eventLog {
	return &eventLog{delay: delay, lossShare: lossShare, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (l *eventLog) add(kind string, b *block) {
	l.seq++
	if l.rng.Float64() < l.lossShare {
		return
	}
	l.events = append(l.events, timedEvent{at: time.Now(), Event: Event{
		Seq: l.seq, Kind: kind, Organisation: b.organisation, Prefix: formatHash(b.hash), Tokens: b.prefixTokens,
	}})
	if len(l.events) > 2*eventLogSize {
		l.events = append([]timedEvent(nil), l.events[len(l.events)-eventLogSize:]...)
	}
}

// publishedAfter returns the published events with a sequence number above seq, and the
// sequence number of the last one, or seq if there is none.
func (l *eventLog) publishedAfter(seq uint64) ([]Event, uint64) {
	events := []Event{}
	cutoff := time.Now().Add(-l.delay)
	for _, e := range l.events {
		if e.at.After(cutoff) {
			break
		}
		if e.Seq > seq {
			events = append(events, e.Event)
			seq = e.Seq
		}
	}
	return events, seq
}
