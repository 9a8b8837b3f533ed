package queue

import "time"

// OfferResult is what the callback of Fair.Each reports about the offered element.
type OfferResult int

const (
	// Removed means that the callback removed the element from the queue.
	Removed OfferResult = iota
	// Skip means that the flow cannot be served now.
	Skip
	// Stop ends the iteration.
	Stop
)

// Fair is a weighted fair queue that implements start-time fair queueing. Its
// elements belong to flows and wait in lanes. The flow with the earliest virtual
// start time is served first, and work charged to a flow moves its start time
// forward by the work divided by the weight of the flow.
//
// Each lane is served separately, but all lanes share one virtual clock, and a
// flow has one start time for all lanes. Work done in one lane therefore counts
// for the flow in every lane.
//
// The share that an idle flow leaves unused goes to the others. The flow cannot
// claim that share later: when it has elements again, its start time is behind
// the clock by at most a bounded credit.
type Fair[K comparable, V any] struct {
	opts  FairOptions[V]
	flows map[K]*flow[K, V]
	// lanes holds, for each lane, the flows with elements in it.
	lanes []*Heap[*flow[K, V]]
	// waiting holds all flows with elements in any lane, by start time.
	waiting *Heap[*flow[K, V]]
	// clock is the virtual time, in work per weight. It never decreases.
	clock float64
	// size is the number of elements.
	size int
}

// FairOptions configure a Fair.
type FairOptions[V any] struct {
	// Lanes is the number of lanes, at least 1.
	Lanes int
	// Before orders the elements of one flow in one lane.
	Before func(a, b V) bool
	// Due returns the time from which an element is served before the others
	// of its flow and lane, whatever Before says. It may be nil.
	Due func(V) time.Time
	// MaxCredit bounds, in work per weight, how far behind the clock an idle
	// flow may start.
	MaxCredit float64
	// MaxLead bounds, in work per weight, how far a flow that is served in one
	// lane may run ahead of the clock while other flows wait in other lanes.
	// With a MaxLead of 0 the clock would follow the lane that is served most
	// often. Work done in that lane would then not count against a flow in the
	// other lanes.
	MaxLead float64
}

type flow[K comparable, V any] struct {
	key    K
	weight float64
	// start is the virtual start time of the next element.
	start float64
	// count is the number of elements in all lanes.
	count int
	// node is the flow's node in Fair.waiting while the flow has elements.
	node  *Node[*flow[K, V]]
	lanes []flowLane[K, V]
}

// flowLane holds the elements of a flow in one lane.
type flowLane[K comparable, V any] struct {
	// node is the flow's node in the lane's heap, or nil while the flow is not in
	// that heap.
	node *Node[*flow[K, V]]
	// items and due hold the same elements: items by FairOptions.Before, due
	// by FairOptions.Due; due is nil without that option.
	items *Heap[*Item[K, V]]
	due   *Heap[*Item[K, V]]
}

// Item is an element in a Fair.
type Item[K comparable, V any] struct {
	value V
	lane  int
	flow  *flow[K, V]
	// node and due are the nodes in the heaps items and due of the flow's
	// lane.
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
			// Flows with equal start times are ordered by their first
			// elements, so that the result does not depend on the iteration
			// order of a map.
			return a.firstBefore(lane, q.opts.Before, b)
		}))
	}
	return q
}

// firstBefore reports whether the first element of the flow in the lane goes
// before that of the other flow.
func (f *flow[K, V]) firstBefore(lane int, before func(a, b V) bool, other *flow[K, V]) bool {
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
		f.start = max(f.start, q.clock-q.opts.MaxCredit)
		f.node = q.waiting.Push(f)
	}
	f.count++
	q.size++
	item := &Item[K, V]{value: v, lane: lane, flow: f}
	l := &f.lanes[lane]
	item.node = l.items.Push(item)
	if l.due != nil {
		item.due = l.due.Push(item)
	}
	q.updateLane(f, lane)
	return item
}

// Remove removes an element. An element that was removed before is ignored.
func (q *Fair[K, V]) Remove(item *Item[K, V]) {
	if item.node.index < 0 {
		return
	}
	f, l := item.flow, &item.flow.lanes[item.lane]
	l.items.Remove(item.node)
	if item.due != nil {
		l.due.Remove(item.due)
	}
	if f.count--; f.count == 0 {
		q.waiting.Remove(f.node)
	}
	q.size--
	if l.node == nil {
		return
	}
	if l.items.Len() == 0 {
		q.lanes[item.lane].Remove(l.node)
		l.node = nil
		return
	}
	q.lanes[item.lane].Fix(l.node)
}

// Charge adds work to a flow. The weight replaces the flow's earlier one and
// must be positive. Negative work is a refund; it never moves the flow further
// behind the clock than FairOptions.MaxCredit.
func (q *Fair[K, V]) Charge(key K, weight, work float64) {
	f := q.flow(key, weight)
	if work > 0 {
		q.advance(f.start)
	}
	f.start += work / f.weight
	if work < 0 {
		f.start = max(f.start, q.clock-q.opts.MaxCredit)
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

// Lead returns how far, in work per weight, the flow is ahead of the clock. It is
// negative for a flow that is behind the clock, such as an unknown flow, which
// would start FairOptions.MaxCredit behind.
func (q *Fair[K, V]) Lead(key K) float64 {
	if f, ok := q.flows[key]; ok {
		return f.start - q.clock
	}
	return -q.opts.MaxCredit
}

// advance moves the clock forward to servedStart, the start time of the flow that is
// served, or to the earliest start time of a waiting flow if that is earlier. The
// clock is never left behind servedStart by more than FairOptions.MaxLead.
func (q *Fair[K, V]) advance(servedStart float64) {
	least := servedStart
	if f, ok := q.waiting.Peek(); ok {
		least = min(least, f.start)
	}
	q.clock = max(q.clock, least, servedStart-q.opts.MaxLead)
}

// Each offers elements of a lane to the callback in order of service. It always
// offers the next element of the flow with the earliest start time. The callback
// must remove the element before it returns Removed. It usually also charges the
// flow, so that another flow may be the first one afterwards. A skipped flow is not
// offered again in the same iteration. Each ends when the callback returns Stop,
// when limit flows were skipped, or when no flow is left.
func (q *Fair[K, V]) Each(lane, limit int, now time.Time, offer func(V) OfferResult) {
	h := q.lanes[lane]
	var skipped []*flow[K, V]
	for len(skipped) < limit {
		f, ok := h.Peek()
		if !ok {
			break
		}
		result := offer(f.next(lane, q.opts.Due, now).value)
		if result == Stop {
			break
		}
		if result == Skip {
			h.Remove(f.lanes[lane].node)
			f.lanes[lane].node = nil
			skipped = append(skipped, f)
		}
	}
	for _, f := range skipped {
		q.updateLane(f, lane)
	}
}

// next returns the flow's next element in a lane: the one with the earliest due
// time if that time has been reached, otherwise the first by FairOptions.Before.
func (f *flow[K, V]) next(lane int, due func(V) time.Time, now time.Time) *Item[K, V] {
	l := &f.lanes[lane]
	if l.due != nil {
		if item, ok := l.due.Peek(); ok && !due(item.value).After(now) {
			return item
		}
	}
	item, _ := l.items.Peek()
	return item
}

// updateLane adds a flow to the heap of a lane, or restores its position
// there. A flow without elements in the lane is not added.
func (q *Fair[K, V]) updateLane(f *flow[K, V], lane int) {
	l := &f.lanes[lane]
	switch {
	case l.items.Len() == 0:
	case l.node == nil:
		l.node = q.lanes[lane].Push(f)
	default:
		q.lanes[lane].Fix(l.node)
	}
}

// sweepThreshold limits the number of idle flows. When the number of flows reaches
// sweepThreshold plus two for each element, adding a flow first removes idle flows. Only
// flows that are at least FairOptions.MaxCredit behind the clock are removed. They
// lose nothing, because they would start at MaxCredit behind the clock in any case.
const sweepThreshold = 1024

// flow returns the flow of a key with its weight set, and adds it if unknown.
func (q *Fair[K, V]) flow(key K, weight float64) *flow[K, V] {
	f, ok := q.flows[key]
	if ok {
		f.weight = weight
		return f
	}
	if len(q.flows) >= 2*q.size+sweepThreshold {
		for k, old := range q.flows {
			if old.count == 0 && old.start <= q.clock-q.opts.MaxCredit {
				delete(q.flows, k)
			}
		}
	}
	f = &flow[K, V]{key: key, weight: weight, start: q.clock - q.opts.MaxCredit, lanes: make([]flowLane[K, V], len(q.lanes))}
	for i := range f.lanes {
		f.lanes[i].items = NewHeap(func(a, b *Item[K, V]) bool { return q.opts.Before(a.value, b.value) })
		if q.opts.Due != nil {
			f.lanes[i].due = NewHeap(func(a, b *Item[K, V]) bool { return q.opts.Due(a.value).Before(q.opts.Due(b.value)) })
		}
	}
	q.flows[key] = f
	return f
}
