package queue

import "time"

// Verdict is the answer to an element that Fair.Each offers.
type Verdict int

const (
	// Taken says that the element was removed from the queue.
	Taken Verdict = iota
	// Skip says that the flow cannot be served now.
	Skip
	// Stop ends the iteration.
	Stop
)

// Fair is a weighted fair queue by start-time fair queueing. Flows share one
// virtual clock over several lanes; a lane is served on its own, and the work
// done in any lane counts for the flow in all of them. A share that a flow
// leaves idle goes to the others; when the flow returns it resumes at the
// clock less a bounded credit, so it cannot claim the idle time afterwards.
type Fair[K comparable, V any] struct {
	opts  FairOptions[V]
	flows map[K]*flow[K, V]
	lanes []*Heap[*flow[K, V]]
	// waiting holds all flows with elements in any lane.
	waiting *Heap[*flow[K, V]]
	clock   float64
	size    int
}

// FairOptions configure a Fair.
type FairOptions[V any] struct {
	// Lanes is the number of lanes, at least 1.
	Lanes int
	// Before orders the elements of one flow in one lane.
	Before func(a, b V) bool
	// Due is the time from which an element goes before the others of its
	// flow and lane. It may be nil.
	Due func(V) time.Time
	// Credit bounds, in work per weight, how far behind the clock a returning
	// flow starts.
	Credit float64
	// Lead bounds, in work per weight, how far a flow served in one lane runs
	// ahead of the clock while other flows wait in other lanes. Without it,
	// work in a lane that is served often would be forgotten in the others.
	Lead float64
}

type flow[K comparable, V any] struct {
	key    K
	weight float64
	// start is the virtual start time of the next element.
	start float64
	count int
	node  *Node[*flow[K, V]]
	lanes []flowLane[K, V]
}

type flowLane[K comparable, V any] struct {
	node  *Node[*flow[K, V]]
	items *Heap[*Item[K, V]]
	due   *Heap[*Item[K, V]]
}

// Item is an element in a Fair.
type Item[K comparable, V any] struct {
	value     V
	lane      int
	flow      *flow[K, V]
	node, due *Node[*Item[K, V]]
}

// NewFair returns an empty queue.
func NewFair[K comparable, V any](o FairOptions[V]) *Fair[K, V] {
	q := &Fair[K, V]{opts: o, flows: map[K]*flow[K, V]{}}
	q.waiting = NewHeap(func(a, b *flow[K, V]) bool { return a.start < b.start })
	for lane := range max(1, o.Lanes) {
		q.lanes = append(q.lanes, NewHeap(func(a, b *flow[K, V]) bool {
			if a.start != b.start {
				return a.start < b.start
			}
			// Equal flows are served by their first elements, so that the
			// result does not depend on the order of a map.
			return a.first(lane, q.opts.Before, b)
		}))
	}
	return q
}

func (f *flow[K, V]) first(lane int, before func(a, b V) bool, other *flow[K, V]) bool {
	a, ok := f.lanes[lane].items.Peek()
	b, okOther := other.lanes[lane].items.Peek()
	return ok && okOther && before(a.value, b.value)
}

// Len returns the number of elements.
func (q *Fair[K, V]) Len() int { return q.size }

// LaneFlows returns the number of flows with elements in the lane.
func (q *Fair[K, V]) LaneFlows(lane int) int { return q.lanes[lane].Len() }

// Push adds an element to a flow. The weight replaces the flow's earlier one
// and must be positive.
func (q *Fair[K, V]) Push(key K, weight float64, lane int, v V) *Item[K, V] {
	f := q.flow(key, weight)
	if f.count == 0 {
		f.start = max(f.start, q.clock-q.opts.Credit)
		f.node = q.waiting.Push(f)
	}
	f.count++
	q.size++
	it := &Item[K, V]{value: v, lane: lane, flow: f}
	l := &f.lanes[lane]
	it.node = l.items.Push(it)
	if l.due != nil {
		it.due = l.due.Push(it)
	}
	q.activate(f, lane)
	return it
}

// Remove takes an element out. An element that was removed before is ignored.
func (q *Fair[K, V]) Remove(it *Item[K, V]) {
	if it.node.index < 0 {
		return
	}
	f, l := it.flow, &it.flow.lanes[it.lane]
	l.items.Remove(it.node)
	if it.due != nil {
		l.due.Remove(it.due)
	}
	if f.count--; f.count == 0 {
		q.waiting.Remove(f.node)
	}
	q.size--
	if l.node == nil {
		return
	}
	if l.items.Len() == 0 {
		q.lanes[it.lane].Remove(l.node)
		l.node = nil
		return
	}
	q.lanes[it.lane].Fix(l.node)
}

// Charge adds work to a flow. Negative work is a refund; it never moves the
// flow further behind the clock than the credit.
func (q *Fair[K, V]) Charge(key K, weight, work float64) {
	f := q.flow(key, weight)
	if work > 0 {
		q.advance(f.start)
	}
	f.start += work / f.weight
	if work < 0 {
		f.start = max(f.start, q.clock-q.opts.Credit)
	}
	if f.count > 0 {
		q.waiting.Fix(f.node)
	}
	for lane := range f.lanes {
		if n := f.lanes[lane].node; n != nil {
			q.lanes[lane].Fix(n)
		}
	}
}

// Ahead returns how far, in work per weight, the flow is ahead of the clock.
// It is negative for a flow with credit.
func (q *Fair[K, V]) Ahead(key K) float64 {
	if f, ok := q.flows[key]; ok {
		return f.start - q.clock
	}
	return -q.opts.Credit
}

// advance moves the clock to the start of the served element, or to the least
// start that waits in any lane, but not further than the lead behind it.
func (q *Fair[K, V]) advance(served float64) {
	least := served
	if f, ok := q.waiting.Peek(); ok {
		least = min(least, f.start)
	}
	q.clock = max(q.clock, least, served-q.opts.Lead)
}

// Each offers the first element of each flow of a lane in order of service,
// and the next one of a flow after each Taken. It ends at Stop, after limit
// flows were skipped, or when no flow is left. An offered element that is
// Taken must have been removed.
func (q *Fair[K, V]) Each(lane, limit int, now time.Time, offer func(V) Verdict) {
	h := q.lanes[lane]
	var skipped []*flow[K, V]
	for len(skipped) < limit {
		f, ok := h.Peek()
		if !ok {
			break
		}
		verdict := offer(f.head(lane, q.opts.Due, now).value)
		if verdict == Stop {
			break
		}
		if verdict == Skip {
			h.Remove(f.lanes[lane].node)
			f.lanes[lane].node = nil
			skipped = append(skipped, f)
		}
	}
	for _, f := range skipped {
		q.activate(f, lane)
	}
}

// head is the element due first when its time has come, otherwise the first
// by order.
func (f *flow[K, V]) head(lane int, due func(V) time.Time, now time.Time) *Item[K, V] {
	l := &f.lanes[lane]
	if l.due != nil {
		if it, ok := l.due.Peek(); ok && !due(it.value).After(now) {
			return it
		}
	}
	it, _ := l.items.Peek()
	return it
}

func (q *Fair[K, V]) activate(f *flow[K, V], lane int) {
	l := &f.lanes[lane]
	switch {
	case l.items.Len() == 0:
	case l.node == nil:
		l.node = q.lanes[lane].Push(f)
	default:
		q.lanes[lane].Fix(l.node)
	}
}

// sweepFlows is the number of idle flows above which those without debt are
// forgotten.
const sweepFlows = 1024

func (q *Fair[K, V]) flow(key K, weight float64) *flow[K, V] {
	f, ok := q.flows[key]
	if ok {
		f.weight = weight
		return f
	}
	if len(q.flows) >= 2*q.size+sweepFlows {
		for k, old := range q.flows {
			if old.count == 0 && old.start <= q.clock-q.opts.Credit {
				delete(q.flows, k)
			}
		}
	}
	f = &flow[K, V]{key: key, weight: weight, start: q.clock - q.opts.Credit, lanes: make([]flowLane[K, V], len(q.lanes))}
	for i := range f.lanes {
		f.lanes[i].items = NewHeap(func(a, b *Item[K, V]) bool { return q.opts.Before(a.value, b.value) })
		if q.opts.Due != nil {
			f.lanes[i].due = NewHeap(func(a, b *Item[K, V]) bool { return q.opts.Due(a.value).Before(q.opts.Due(b.value)) })
		}
	}
	q.flows[key] = f
	return f
}
