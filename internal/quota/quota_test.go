package quota

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

func newQuota(conns int) *Quota {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Memory: processMemory, Files: ReservedFiles + socketsPerClient*conns, Log: log, Metrics: tally.NoopScope})
}

// add returns a new connection in a phase and its other end, or nil if it was refused.
func (q *Quota) add(p phase) *conn {
	near, _ := net.Pipe()
	c := &conn{Conn: near, quota: q, phase: p, since: time.Now()}
	if !q.addConn(c) {
		return nil
	}
	return c
}

// Guards against a connection that gives way although another makes less progress, and
// against a request that was read and is broken off for a new connection.
func TestConnectionsGiveWay(t *testing.T) {
	cases := map[string]struct {
		phases []phase
		// age is the time between the connections and a further one, and evicted the
		// number of the connection that gives way, or -1 if the further one is refused.
		age     time.Duration
		evicted int
	}{
		"idle first":                  {[]phase{head, waiting, serving}, time.Minute, 1},
		"longest idle":                {[]phase{serving, waiting, waiting}, time.Minute, 1},
		"idle at once":                {[]phase{head, body, waiting}, 0, 2},
		"slow request":                {[]phase{serving, body, head}, slowTime, 1},
		"request that just began":     {[]phase{serving, body, head}, slowTime / 2, -1},
		"rest of an unread body":      {[]phase{serving, ended, serving}, slowTime, 1},
		"only requests that are read": {[]phase{serving, serving, serving}, time.Hour, -1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQuota(minConns)
				var conns []*conn
				for i := range minConns {
					conns = append(conns, q.add(tc.phases[min(i, len(tc.phases)-1)]))
					if i >= len(tc.phases) {
						conns[i].phase = serving
					}
					time.Sleep(time.Millisecond)
				}
				time.Sleep(tc.age)
				require.Equal(t, tc.evicted >= 0, q.add(waiting) != nil)
				for i, c := range conns {
					require.Equal(t, i == tc.evicted, c.evicted, i)
				}
			})
		})
	}
}

// Guards against a body that waits forever for memory, that is refused although another
// gives way, and against memory that is not given back.
func TestBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuota(100)
		stalled := q.add(body)
		held := q.Hold(context.WithValue(t.Context(), connKey{}, stalled))
		require.NoError(t, held.Grow(t.Context(), q.maxBodies()-connMemory))

		require.True(t, fault.Is(q.Hold(t.Context()).Grow(t.Context(), 1), fault.Overloaded))
		require.False(t, stalled.evicted, "it has only begun")
		require.True(t, fault.Is(q.Hold(t.Context()).Grow(t.Context(), q.maxBodies()+1), fault.TooLarge))

		time.Sleep(slowTime)
		time.AfterFunc(time.Millisecond, held.Release)
		other := q.Hold(t.Context())
		require.NoError(t, other.Grow(t.Context(), 1<<20))
		require.True(t, stalled.evicted)
		other.Release()
		require.NoError(t, stalled.Close())
		bytes, conns := q.Held()
		require.Zero(t, bytes)
		require.Zero(t, conns)
	})
}

// Guards against a header of any size on a connection that was given the memory of a
// small one, and against headers that are held after their request.
func TestHeadersCount(t *testing.T) {
	q := newQuota(100)
	c := q.add(waiting)
	// A head of this size is free, and each byte beyond it takes 24.
	require.True(t, c.received(4<<10))
	before, _ := q.Held()
	require.True(t, c.received(1000))
	after, _ := q.Held()
	require.Equal(t, int64(1000*24), after-before)
	require.False(t, c.received(q.memory))
	c.enter(serving)
	c.enter(ended)
	held, _ := q.Held()
	require.Equal(t, before, held)
}

// Guards against an answer that is read beyond the memory that is free, and against one
// that is read short.
func TestReadAll(t *testing.T) {
	const size = 100_000
	cases := map[string]struct {
		limit     int64
		grow      bool
		wantWhole bool
		wantSize  int
	}{
		"whole":     {size + 1, true, true, size},
		"limit":     {size, true, false, size},
		"over it":   {size - 1, true, false, size - 1},
		"no memory": {size + 1, false, false, freeBody},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newQuota(100).Hold(t.Context())
			source := strings.NewReader(strings.Repeat("x", size))
			data, whole, err := h.ReadAll(source, tc.limit, func(n int64) bool { return tc.grow && h.TryGrow(n) })
			require.NoError(t, err)
			require.Equal(t, tc.wantWhole, whole)
			require.Equal(t, bytes.Repeat([]byte("x"), tc.wantSize), data)
			require.LessOrEqual(t, int64(cap(data)), max(freeBody, h.bytes))
		})
	}
}
