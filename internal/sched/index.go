package sched

import "math"

// index is a tournament tree over the engines. A search visits only subtrees
// whose bound can beat the best engine found, so it takes O(log n) steps when
// engines differ little.
type index struct {
	slots []*slot
	width int
	nodes []bounds
	share float64
}

// bounds are the best values of a subtree.
type bounds struct {
	busy    [classCount]float64
	penalty float64
	// delayed is the least sum of busy and penalty of one engine.
	delayed   [classCount]float64
	rate      float64
	room      [classCount]int
	freeTotal int
}

var closedBounds = bounds{
	busy: [classCount]float64{math.Inf(1), math.Inf(1), math.Inf(1)}, penalty: math.Inf(1), delayed: [classCount]float64{math.Inf(1), math.Inf(1), math.Inf(1)}, room: [classCount]int{-1, -1, -1},
}

// rebuild indexes the engines anew in O(n).
func (x *index) rebuild(slots []*slot, shortShare float64) {
	x.slots, x.share, x.width = slots, shortShare, 1
	for x.width < len(slots) {
		x.width *= 2
	}
	x.nodes = make([]bounds, 2*x.width)
	for i := range x.width {
		x.nodes[x.width+i] = closedBounds
		if i < len(slots) {
			slots[i].position = i
			x.nodes[x.width+i] = x.leaf(slots[i])
		}
	}
	for i := x.width - 1; i > 0; i-- {
		x.nodes[i] = merge(x.nodes[2*i], x.nodes[2*i+1])
	}
}

func (x *index) leaf(e *slot) bounds {
	if !e.open() {
		return closedBounds
	}
	b := bounds{busy: e.busy, penalty: e.penalty(), rate: e.rate, freeTotal: max(0, e.free())}
	for c := range classCount {
		b.room[c] = e.room(c, x.share)
		b.delayed[c] = b.busy[c] + b.penalty
	}
	return b
}

func merge(a, b bounds) bounds {
	m := bounds{
		penalty: min(a.penalty, b.penalty), rate: max(a.rate, b.rate), freeTotal: a.freeTotal + b.freeTotal,
	}
	for c := range m.busy {
		m.room[c] = max(a.room[c], b.room[c])
		m.busy[c] = min(a.busy[c], b.busy[c])
		m.delayed[c] = min(a.delayed[c], b.delayed[c])
	}
	return m
}

// update takes over a change of one engine in O(log n).
func (x *index) update(e *slot) {
	if e.position >= len(x.slots) || x.slots[e.position] != e {
		return
	}
	i := x.width + e.position
	x.nodes[i] = x.leaf(e)
	for i /= 2; i > 0; i /= 2 {
		x.nodes[i] = merge(x.nodes[2*i], x.nodes[2*i+1])
	}
}

// root returns the bounds over all engines.
func (x *index) root() bounds {
	if len(x.nodes) < 2 {
		return closedBounds
	}
	return x.nodes[1]
}

// search looks for the engine with the least score.
type search struct {
	class class
	// pool is the class whose memory is used.
	pool class
	need int
	// work is the prefill work, window the longest wait in seconds.
	work, window float64
	// blocking is added for short requests on engines with a long prefill.
	blocking float64
	now      float64
	// score returns the predicted time to first token in seconds, or false
	// when the engine must not run the request. It is at least the bound,
	// except on engines that were tried before the search.
	score func(*slot) (float64, bool)
	// mirror reverses the order of equal subtrees.
	mirror bool

	best     *slot
	bestTime float64
	steps    int
}

func (x *index) find(q *search) {
	if len(x.slots) > 0 {
		x.visit(1, q)
	}
}

func (x *index) visit(i int, q *search) {
	q.steps++
	if i >= x.width {
		e := x.slots[i-x.width]
		if v, ok := q.score(e); ok && v < q.bestTime {
			q.best, q.bestTime = e, v
		}
		return
	}
	first, second := 2*i, 2*i+1
	a, b := q.bound(&x.nodes[first]), q.bound(&x.nodes[second])
	if b < a || a == b && q.mirror {
		first, second, a, b = second, first, b, a
	}
	if a < q.bestTime {
		x.visit(first, q)
	}
	if b < q.bestTime {
		x.visit(second, q)
	}
}

// bound is the least score possible in a subtree.
func (q *search) bound(n *bounds) float64 {
	wait := max(0, n.busy[q.class]-q.now)
	if n.room[q.pool] < q.need || wait > q.window {
		return math.Inf(1)
	}
	// The least wait and the least penalty may belong to different engines.
	bound := max(wait+n.penalty, n.delayed[q.class]-q.now) + q.work/n.rate
	if q.class == classShort && n.busy[classLong]-q.now > longPenalty {
		bound += q.blocking
	}
	return bound
}
