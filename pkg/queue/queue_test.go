package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type job struct {
	flow, cost, seq int
}

func newQueue(credit float64) *Fair[int, job] {
	return NewFair[int](FairOptions[job]{
		Lanes: 1, MaxCredit: credit,
		Before: func(a, b job) bool { return a.seq < b.seq },
	})
}

// serve takes one element and charges its cost.
func serve(q *Fair[int, job], items map[int]*Item[int, job], weight func(int) float64) (job, bool) {
	var got job
	found := false
	q.Each(0, 1, time.Time{}, func(j job) OfferResult {
		if found {
			return Stop
		}
		got, found = j, true
		q.Remove(items[j.seq])
		q.Charge(j.flow, weight(j.flow), float64(j.cost))
		return Removed
	})
	return got, found
}

// Guards against a flow that gets more than its share while others wait. For any two
// flows, the served work per weight may differ by one element of each.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flows := rapid.IntRange(2, 6).Draw(t, "flows")
		weights := make([]float64, flows)
		for i := range weights {
			weights[i] = float64(rapid.IntRange(1, 8).Draw(t, "weight"))
		}
		const maxCost, perFlow = 50, 200
		q, items, seq := newQueue(0), map[int]*Item[int, job]{}, 0
		for range perFlow {
			for f := range flows {
				j := job{f, rapid.IntRange(1, maxCost).Draw(t, "cost"), seq}
				items[seq] = q.Push(f, weights[f], 0, j)
				seq++
			}
		}
		served, left := make([]float64, flows), make([]int, flows)
		for i := range left {
			left[i] = perFlow
		}
		for {
			j, ok := serve(q, items, func(f int) float64 { return weights[f] })
			require.True(t, ok)
			served[j.flow] += float64(j.cost) / weights[j.flow]
			if left[j.flow]--; left[j.flow] == 0 {
				break
			}
			for a := range flows {
				for b := range flows {
					require.LessOrEqual(t, served[a]-served[b], maxCost/weights[a]+maxCost/weights[b])
				}
			}
		}
	})
}

// Guards against a flow that claims its unused share after it was idle.
func TestFairReturn(t *testing.T) {
	const credit = 30
	q, items := newQueue(credit), map[int]*Item[int, job]{}
	unitWeight := func(int) float64 { return 1 }
	for seq := range 1000 {
		items[seq] = q.Push(0, 1, 0, job{0, 10, seq})
	}
	for range 500 {
		serve(q, items, unitWeight)
	}
	for seq := 1000; seq < 1100; seq++ {
		items[seq] = q.Push(1, 1, 0, job{1, 10, seq})
	}
	workBefore := 0
	for {
		j, _ := serve(q, items, unitWeight)
		if j.flow == 0 {
			break
		}
		workBefore += j.cost
	}
	require.LessOrEqual(t, workBefore, credit+2*10)
}

// Guards against heaps that lose or reorder elements on removal, skipping or
// charging. The queue is compared with a model that scans all flows.
func TestFairAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, items := newQueue(0), map[int]*Item[int, job]{}
		start, clock, waiting, seq := map[int]float64{}, 0.0, map[int][]job{}, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				j := job{rapid.IntRange(0, 4).Draw(t, "flow"), rapid.IntRange(1, 9).Draw(t, "cost"), seq}
				items[seq] = q.Push(j.flow, 1, 0, j)
				seq++
				if len(waiting[j.flow]) == 0 {
					start[j.flow] = max(start[j.flow], clock)
				}
				waiting[j.flow] = append(waiting[j.flow], j)
			},
			"remove": func(t *rapid.T) {
				f := rapid.IntRange(0, 4).Draw(t, "flow")
				if n := len(waiting[f]); n > 0 {
					q.Remove(items[waiting[f][n-1].seq])
					waiting[f] = waiting[f][:n-1]
				}
			},
			"serve": func(t *rapid.T) {
				best := -1
				for f := range 5 {
					if len(waiting[f]) > 0 && (best < 0 || start[f] < start[best] ||
						start[f] == start[best] && waiting[f][0].seq < waiting[best][0].seq) {
						best = f
					}
				}
				skip := rapid.Bool().Draw(t, "skip")
				if skip {
					q.Each(0, 2, time.Time{}, func(job) OfferResult { return Skip })
				}
				j, ok := serve(q, items, func(int) float64 { return 1 })
				require.Equal(t, best >= 0, ok)
				if ok {
					require.Equal(t, waiting[best][0], j)
					waiting[best] = waiting[best][1:]
					clock = max(clock, start[best])
					start[best] += float64(j.cost)
				}
			},
			"": func(t *rapid.T) {
				n := 0
				for _, w := range waiting {
					n += len(w)
				}
				require.Equal(t, n, q.Len())
			},
		})
	})
}

// Guards against an overdue element that waits behind cheaper ones.
func TestFairDue(t *testing.T) {
	base := time.Unix(1000, 0)
	q := NewFair[int](FairOptions[job]{
		Before: func(a, b job) bool { return a.cost < b.cost },
		Due:    func(j job) time.Time { return base.Add(time.Duration(j.seq) * time.Second) },
	})
	q.Push(0, 1, 0, job{0, 1, 50})
	q.Push(0, 1, 0, job{0, 9, 10})
	for at, want := range map[int]int{0: 1, 10: 9, 60: 9} {
		q.Each(0, 1, base.Add(time.Duration(at)*time.Second), func(j job) OfferResult {
			require.Equal(t, want, j.cost, "at %d s", at)
			return Skip
		})
	}
}

// Guards against work in one lane that does not count in another lane in which the
// same flow waits, and against an unbounded lead over the clock.
func TestFairLanes(t *testing.T) {
	const lead = 100
	q := NewFair[string](FairOptions[int]{Lanes: 2, MaxLead: lead, Before: func(a, b int) bool { return a < b }})
	q.Push("patient", 1, 1, 0)
	for range 5 {
		q.Charge("busy", 1, 10)
	}
	require.InDelta(t, 50, q.Lead("busy"), 0)
	q.Push("busy", 1, 1, 1)
	q.Push("late", 1, 1, 2)
	require.InDelta(t, 0, q.Lead("late"), 0)
	var got []int
	q.Each(1, 3, time.Time{}, func(v int) OfferResult { got = append(got, v); return Skip })
	require.Equal(t, []int{0, 2, 1}, got)
	for range 50 {
		q.Charge("busy", 1, 10)
	}
	require.LessOrEqual(t, q.Lead("busy"), float64(lead+10))
}
