package batch

import (
	"math/rand/v2"
	"time"
)

// journalSize bounds the cache events kept; a reader that is further behind
// sees a gap.
const journalSize = 8192

// journal publishes cache events after a delay and loses a share of them.
type journal struct {
	lag    time.Duration
	gap    float64
	rng    *rand.Rand
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	Event
	at time.Time
}

func newJournal(lag time.Duration, gap float64, seed uint64) *journal {
	return &journal{lag: lag, gap: gap, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (j *journal) add(kind string, b *block) {
	j.seq++
	if j.rng.Float64() < j.gap {
		return
	}
	j.events = append(j.events, timedEvent{at: time.Now(), Event: Event{
		Seq: j.seq, Kind: kind, Organisation: b.organisation, Prefix: formatHash(b.hash), Tokens: b.length,
	}})
	if len(j.events) > 2*journalSize {
		j.events = append([]timedEvent(nil), j.events[len(j.events)-journalSize:]...)
	}
}

// after returns the published events above seq, and the number to ask for next.
func (j *journal) after(seq uint64) ([]Event, uint64) {
	events := []Event{}
	limit := time.Now().Add(-j.lag)
	for _, e := range j.events {
		if e.at.After(limit) {
			break
		}
		if e.Seq > seq {
			events = append(events, e.Event)
			seq = e.Seq
		}
	}
	return events, seq
}
