package gate

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/feed"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// returnState is a state with the registration of one upstream, whose value is its state
// and the number of its process, as in "draining 1".
type returnState struct {
	*state
	now time.Time
	// onDecode is called when the registration is decoded.
	onDecode func()
}

func newReturnState(t *testing.T) *returnState {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &returnState{now: time.Now(), onDecode: func() {}}
	a := textAdapter()
	a.DecodeUpstream = func(_ string, data []byte) (place.Upstream, bool, error) {
		r.onDecode()
		state, process, _ := strings.Cut(string(data), " ")
		return place.Upstream{
			ID: "a", Service: "s", Address: "10.0.0.1:80", Domain: "d", Slots: 1, Leaving: state == "draining",
			Started: time.UnixMilli(int64(process[0])),
		}, true, nil
	}
	r.state = newState("n", feed.New(log), a, crash.NewRegistry(crash.Options{Log: log}), nil, func() []member.Member { return nil }, group.New(t.Context()), log)
	return r
}

// receive takes over all keys of an era: the registration, or none.
func (r *returnState) receive(era, revision uint64, registration string) {
	b := feed.Batch{Version: feed.Version{Era: era, Revision: revision}, Complete: true}
	if registration != "" {
		b.Items = []feed.Item{{Key: "u/a", Value: []byte(registration), Revision: revision}}
	}
	r.feed.Apply(b, r.now)
}

// list takes over all keys of an era and applies them.
func (r *returnState) list(era, revision uint64, registration string) {
	r.receive(era, revision, registration)
	r.refresh(r.now)
}

// pass lets time pass.
func (r *returnState) pass(d time.Duration) {
	r.now = r.now.Add(d)
	r.refresh(r.now)
}

// Guards against an upstream that left and is used because a copy of the platform's keys
// names it, and against a sound one that is dropped because a copy does not.
func TestReturns(t *testing.T) {
	cases := map[string]struct {
		play   func(r *returnState)
		usable bool
	}{
		"left before the return": {func(r *returnState) {
			r.list(1, 11, "draining 1")
			r.list(2, 5, "available 1")
			r.pass(doubtTime - time.Millisecond)
		}, false},
		"left, and is registered after the doubt": {func(r *returnState) {
			r.list(1, 11, "")
			r.list(2, 5, "available 1")
			r.pass(doubtTime)
		}, true},
		"left, and its successor is registered": {func(r *returnState) {
			r.list(1, 11, "draining 1")
			r.list(2, 5, "available 2")
		}, true},
		"lapses": {func(r *returnState) {
			r.list(2, 5, "")
			r.pass(lapseHold - time.Millisecond)
		}, true},
		"lapses for good": {func(r *returnState) {
			r.list(2, 5, "")
			r.pass(lapseHold)
		}, false},
		"leaves as the return is heard of": {func(r *returnState) {
			r.receive(1, 11, "draining 1")
			r.onDecode = func() {
				r.onDecode = func() {}
				r.receive(2, 5, "available 1")
			}
			r.refresh(r.now)
			r.refresh(r.now)
		}, false},
		"left, and a process before it is registered": {func(r *returnState) {
			r.list(1, 11, "available 2")
			r.list(1, 12, "draining 2")
			r.list(2, 10, "available 1")
		}, false},
		"left before two returns": {func(r *returnState) {
			r.list(1, 11, "draining 1")
			r.list(2, 5, "available 1")
			r.pass(doubtTime - 100*time.Millisecond)
			r.list(3, 5, "available 1")
			r.pass(200 * time.Millisecond)
		}, false},
		"lapses in two returns": {func(r *returnState) {
			r.list(2, 5, "")
			r.pass(lapseHold - 100*time.Millisecond)
			r.list(3, 5, "")
			r.pass(200 * time.Millisecond)
		}, true},
		"lapses too long, and is registered after another return": {func(r *returnState) {
			r.list(2, 5, "")
			r.pass(lapseHold)
			r.list(3, 5, "available 1")
		}, true},
		"left, lapses, and is registered": {func(r *returnState) {
			r.list(1, 11, "draining 1")
			r.list(2, 5, "")
			r.pass(lapseHold)
			r.list(2, 7, "available 1")
		}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newReturnState(t)
			r.list(1, 10, "available 1")
			tc.play(r)
			require.Equal(t, tc.usable, len(r.Upstreams("s")) > 0 && !r.UpstreamGone("a"))
		})
	}
}
