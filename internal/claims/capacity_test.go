package claims

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// fitLine returns the least-squares line through points and the root mean square
// of its residuals, relative to the mean of ys.
func fitLine(xs, ys []float64) (slope, intercept, residual float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i, x := range xs {
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	for i, x := range xs {
		off := ys[i] - slope*x - intercept
		residual += off * off // the sum of squares until the return
	}
	return slope, intercept, math.Sqrt(residual/n) / (sy / n)
}

// singleNodeLog returns the log of a node that owns all shards.
func singleNodeLog(store plat.Store, options Options) *Log {
	options.Store, options.Node, options.Incarnation = store, "north-jetty-entry-1", 1764829014000000
	options.Owner = func(string, int) (member.Member, bool) { return member.Member{Name: options.Node}, true }
	options.Logger = logrus.New()
	return New(options)
}

// runLoad claims and finishes calls at an average rate for a duration of virtual
// time. It returns the number of calls.
func runLoad(t *testing.T, f *fleet, log *Log, perSecond float64, d time.Duration) int {
	g := group.New(context.WithoutCancel(t.Context()))
	calls := 0
	for end := time.Now().Add(d); time.Now().Before(end); calls++ {
		key := f.key()
		g.Go("call", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
			defer cancel()
			decision, err := log.Acquire(ctx, Call{
				Service: "desk", Organisation: "skippers", Key: key, Digest: sha256.Sum256(nil), Window: time.Hour,
			})
			if err != nil || decision.Verdict != Run {
				return fmt.Errorf("%v, %w", decision.Verdict, err)
			}
			time.Sleep(200 * time.Millisecond)
			return log.Finish(ctx, decision.Claim, Outcome{
				Run: fault.RunYes, Status: 200, ContentType: "application/json", Body: make([]byte, 64),
			})
		})
		time.Sleep(time.Duration(-math.Log(1-f.random.Float64()) / perSecond * float64(time.Second)))
	}
	require.NoError(t, g.Wait())
	return calls
}

// Guards against a rate of platform writes that grows in proportion to the load.
// Group commit prevents this: a shard writes at most once per flush interval,
// plus twice per full segment.
func TestCapacity(t *testing.T) {
	for _, segment := range []int{2 << 10, 4 << 10, 8 << 10, 16 << 10} {
		rates := []float64{10, 30, 100, 300}
		var perWrite, bytes, writes []float64
		for _, rate := range rates {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 0, nil)
				log := singleNodeLog(f.store, Options{Rand: f.random.Float64, SegmentSize: segment, WritesPerSecond: 1000})
				ctx, cancel := context.WithCancel(t.Context())
				done := group.New(ctx)
				done.Go("log", log.Run)
				const d = 30 * time.Second
				calls := float64(runLoad(t, f, log, rate, d))
				cancel()
				_ = done.Wait()
				perWrite = append(perWrite, calls/float64(f.store.puts))
				bytes = append(bytes, float64(f.store.bytes)/calls)
				writes = append(writes, float64(f.store.puts)/d.Seconds())
				// The two records of a call, claim and outcome, take less than 512 bytes.
				limit := float64(defaultShards)*d.Seconds()/defaultFlushInterval.Seconds() + 2*calls*512/float64(segment) + defaultShards
				require.Less(t, float64(f.store.puts), limit)
			})
		}
		slope, intercept, residual := fitLine(rates, perWrite)
		t.Logf("segment %d: calls/s %v, calls per write %.2f (slope %.5f, intercept %.2f, residual %.3f), bytes per call %.0f, writes/s %.1f",
			segment, rates, perWrite, slope, intercept, residual, bytes, writes)
	}
}

// memoryStore is an in-memory store without delays or faults.
type memoryStore struct {
	plat.Store
	entries  map[string]plat.Entry
	revision plat.Revision
}

func (m *memoryStore) Get(_ context.Context, key string) (plat.Entry, error) {
	if e, ok := m.entries[key]; ok {
		return e, nil
	}
	return plat.Entry{}, fault.New(fault.NotFound, "no such key")
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	if m.entries[key].Revision != base {
		return 0, fault.New(fault.Conflict, "another revision")
	}
	m.revision++
	m.entries[key] = plat.Entry{Key: key, Value: value, Revision: m.revision}
	return m.revision, nil
}

func (m *memoryStore) List(context.Context, string) ([]plat.Entry, error) { return nil, nil }

// claimOperations returns n operations that claim new keys.
func claimOperations(ctx context.Context, random *netem.Random, n int) []*operation {
	ops := make([]*operation, n)
	for i := range ops {
		id := make([]byte, 16)
		for j := range id {
			id[j] = byte(random.IntN(256))
		}
		ops[i] = &operation{ctx: ctx, result: make(chan answer, 1), acquire: &AcquireParams{
			Service: "desk", ID: id, Time: time.Now().UnixMilli(), Digest: id, WindowMS: millis(time.Hour),
			Claimant: Claimant{Node: "north-jetty-entry-1", Incarnation: 1764829014000000, Sequence: uint64(i)},
		}}
	}
	return ops
}

// BenchmarkClaim measures the time per claim for several numbers of claims that are
// queued together and several segment sizes.
func BenchmarkClaim(b *testing.B) {
	for _, queued := range []int{1, 4, 16, 64} {
		for _, segment := range []int{4 << 10, 16 << 10} {
			b.Run(fmt.Sprintf("queued=%d/segment=%d", queued, segment), func(b *testing.B) { benchmarkClaim(b, queued, segment) })
		}
	}
}

func benchmarkClaim(b *testing.B, queued, segment int) {
	ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
	defer cancel()
	log := singleNodeLog(&memoryStore{entries: map[string]plat.Entry{}}, Options{WritesPerSecond: 1e9, SegmentSize: segment})
	s := newShard(log, "desk", 0)
	random := netem.NewRandom(1)
	claims := 0
	for b.Loop() {
		b.StopTimer()
		ops := claimOperations(ctx, random, queued)
		b.StartTimer()
		s.flush(ctx, ops)
		claims += queued
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(claims), "ns/claim")
}

// BenchmarkMemory measures the heap memory of each claim in the ledger.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{10000, 30000, 100000, 300000} {
		b.Run(fmt.Sprint("claims=", size), func(b *testing.B) {
			ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
			defer cancel()
			for b.Loop() {
				store := &memoryStore{entries: map[string]plat.Entry{}}
				log := singleNodeLog(store, Options{WritesPerSecond: 1e9})
				s := newShard(log, "desk", 0)
				random := netem.NewRandom(1)
				before := heapBytes()
				for range size / 100 {
					s.flush(ctx, claimOperations(ctx, random, 100))
				}
				// Free the content of the segments, so that only the claims in the
				// ledger are measured.
				stored := store.entries
				store.entries = nil
				s.ledger.content = nil
				clear(stored)
				b.ReportMetric(float64(heapBytes()-before)/float64(size), "B/claim")
				runtime.KeepAlive(s)
			}
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
