package sched

import "math"

// index is a tournament tree over the engines. A search visits only the subtrees
// whose bound is below the best score found so far, so it takes O(log n) steps
// when the engines differ little.
type index struct {
	engines []*engineState
	width   int
	// nodes[1] is the root; the children of node i are 2i and 2i+1, and the
	// leaves begin at width.
	nodes      []bounds
	shortShare float64
}

// bounds are the best values of any engine in a subtree. Engines that take no new
// work are excluded.
type bounds struct {
	busyUntil [classCount]float64
	penalty   float64
	// delayed is the least sum of an engine's busyUntil and its penalty.
	delayed     [classCount]float64
	prefillRate float64
	available   [classCount]int
	// freeTotal is the sum of the free memory.
	freeTotal int
}

// unavailableBounds are the bounds of an engine that takes no new work.
var unavailableBounds = bounds{
	busyUntil: [classCount]float64{math.Inf(1), math.Inf(1), math.Inf(1)}, penalty: math.Inf(1), delayed: [classCount]float64{math.Inf(1), math.Inf(1), math.Inf(1)}, available: [classCount]int{-1, -1, -1},
}

// rebuild indexes all engines in O(n).
func (x *index) rebuild(engines []*engineState, shortShare float64) {
	x.engines, x.shortShare, x.width = engines, shortShare, 1
	for x.width < len(engines) {
		x.width *= 2
	}
	x.nodes = make([]bounds, 2*x.width)
	for i := range x.width {
		x.nodes[x.width+i] = unavailableBounds
		if i < len(engines) {
			engines[i].position = i
			x.nodes[x.width+i] = x.leaf(engines[i])
		}
	}
	for i := x.width - 1; i > 0; i-- {
		x.nodes[i] = merge(x.nodes[2*i], x.nodes[2*i+1])
	}
}

// leaf returns the bounds of a single engine.
func (x *index) leaf(e *engineState) bounds {
	if !e.open() {
		return unavailableBounds
	}
	b := bounds{busyUntil: e.busyUntil, penalty: e.penalty(), prefillRate: e.prefillRate, freeTotal: max(0, e.free())}
	for c := range classCount {
		b.available[c] = e.available(c, x.shortShare)
		b.delayed[c] = b.busyUntil[c] + b.penalty
	}
	return b
}

// merge returns the bounds of two subtrees together.
func merge(a, b bounds) bounds {
	m := bounds{
		penalty: min(a.penalty, b.penalty), prefillRate: max(a.prefillRate, b.prefillRate), freeTotal: a.freeTotal + b.freeTotal,
	}
	for c := range m.busyUntil {
		m.available[c] = max(a.available[c], b.available[c])
		m.busyUntil[c] = min(a.busyUntil[c], b.busyUntil[c])
		m.delayed[c] = min(a.delayed[c], b.delayed[c])
	}
	return m
}

// update indexes one changed engine in O(log n).
func (x *index) update(e *engineState) {
	if e.position >= len(x.engines) || x.engines[e.position] != e {
		return
	}
	i := x.width + e.position
	x.nodes[i] = x.leaf(e)
	for i /= 2; i > 0; i /= 2 {
		x.nodes[i] = merge(x.nodes[2*i], x.nodes[2*i+1])
	}
}

// root returns the bounds of all engines.
func (x *index) root() bounds {
	if len(x.nodes) < 2 {
		return unavailableBounds
	}
	return x.nodes[1]
}

// search looks for the engine with the least score.
type search struct {
	class class
	// memoryClass is the class whose part of the memory the request may use.
	memoryClass class
	memory      int
	// prefillWork is the work to prefill the whole prompt, corrected by the
	// learned factor of the class; window is the maximum wait in seconds.
	prefillWork, window float64
	// blockingDelay is added for short requests on engines with a long prefill
	// in progress.
	blockingDelay float64
	now           float64
	// score returns the predicted time to first token in seconds, or false if the
	// engine may not run the request. The score is never below the bound of the
	// engine's subtrees, except on engines with a cached prefix, which are tried
	// before the search.
	score func(*engineState) (float64, bool)
	// mirror makes the search visit the second of two equal subtrees first.
	mirror bool

	best     *engineState
	bestTime float64
	steps    int
}

// find searches the index for a better engine than q.best.
func (x *index) find(q *search) {
	if len(x.engines) > 0 {
		x.visit(1, q)
	}
}

func (x *index) visit(i int, q *search) {
	q.steps++
	if i >= x.width {
		e := x.engines[i-x.width]
		if firstToken, ok := q.score(e); ok && firstToken < q.bestTime {
			q.best, q.bestTime = e, firstToken
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

// bound is a lower bound of the score of any engine in a subtree.
func (q *search) bound(n *bounds) float64 {
	wait := max(0, n.busyUntil[q.class]-q.now)
	if n.available[q.memoryClass] < q.memory || wait > q.window {
		return math.Inf(1)
	}
	// The least wait and the least penalty may belong to different engines, so
	// delayed can give a higher bound than their sum.
	bound := max(wait+n.penalty, n.delayed[q.class]-q.now) + q.prefillWork/n.prefillRate
	if q.class == classShort && n.busyUntil[classLong]-q.now > longPrefillDelay {
		bound += q.blockingDelay
	}
	return bound
}
