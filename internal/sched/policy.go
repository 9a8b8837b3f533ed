package sched

import "time"

// verdict is the result of offering a ticket for placement.
type verdict int

const (
	// taken says that the ticket left the queue.
	taken verdict = iota
	// blocked says that this ticket cannot be placed now, but others may.
	blocked
)

// order decides which waiting ticket is offered next.
type order interface {
	push(t *ticket, now time.Time)
	remove(t *ticket)
	// charge accounts work done for an organisation, negative for a refund.
	charge(org string, weight, work float64)
	// each offers tickets until no more can be placed.
	each(now time.Time, offer func(*ticket) verdict)
}

// placer chooses an engine for a ticket. It returns nil and the reason when
// there is none.
type placer interface {
	place(s *Scheduler, t *ticket, now time.Time) (*slot, verdict)
}

// policy joins an order with a placer.
type policy struct {
	order  order
	placer placer
}

func newPolicy(PolicyName) policy {
	return policy{order: &fifo{}, placer: leastReported{}}
}

// fifo offers tickets in order of arrival and stops at the first that does
// not fit.
type fifo struct{ tickets []*ticket }

func (q *fifo) push(t *ticket, _ time.Time) { q.tickets = append(q.tickets, t) }

func (q *fifo) remove(t *ticket) {
	for i, other := range q.tickets {
		if other == t {
			q.tickets = append(q.tickets[:i], q.tickets[i+1:]...)
			return
		}
	}
}

func (q *fifo) charge(string, float64, float64) {}

func (q *fifo) each(_ time.Time, offer func(*ticket) verdict) {
	for len(q.tickets) > 0 {
		if offer(q.tickets[0]) != taken {
			return
		}
	}
}

// leastReported places on the engine whose last report shows the fewest
// streams, without correction for grants made since.
type leastReported struct{}

func (leastReported) place(s *Scheduler, t *ticket, _ time.Time) (*slot, verdict) {
	var best *slot
	for _, e := range s.slots {
		if !s.fits(e, t) {
			continue
		}
		if best == nil || load(e) < load(best) {
			best = e
		}
	}
	return best, blocked
}

func load(e *slot) int { return e.report.Running + e.report.Waiting }
