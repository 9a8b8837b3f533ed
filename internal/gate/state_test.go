package gate

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/feed"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// textAdapter reads keys that begin with u/ as upstreams and with q/ as quarantines. The
// value odd cannot be read.
func textAdapter() Adapter {
	odd := errors.New("odd")
	return Adapter{
		DecodeDocument: func(string, []byte) (*route.Config, bool, error) { return nil, false, nil },
		DecodeGateway:  func(string, []byte) (string, bool, error) { return "", false, nil },
		DecodeQuarantine: func(key string, data []byte) (crash.Quarantine, bool, error) {
			if strings.HasPrefix(key, "q/") && string(data) == "odd" {
				return crash.Quarantine{}, true, odd
			}
			return crash.Quarantine{}, false, nil
		},
		DecodeUpstream: func(key string, data []byte) (place.Upstream, bool, error) {
			id, ok := strings.CutPrefix(key, "u/")
			if ok && string(data) == "odd" {
				return place.Upstream{}, true, odd
			}
			return place.Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", Domain: "d", Slots: 1}, ok, nil
		},
	}
}

// Guards against an upstream that is used although its registration was overwritten
// with something that cannot be read, and against a log that fills with one odd entry.
func TestOverwrittenRegistration(t *testing.T) {
	var text bytes.Buffer
	log := logrus.New()
	log.SetOutput(&text)
	f := feed.New(log)
	s := newState("n", f, textAdapter(), crash.NewRegistry(crash.Options{Log: log}), nil, func() []member.Member { return nil }, group.New(t.Context()), log)
	revision := uint64(0)
	put := func(key, value string) {
		revision++
		f.Apply(feed.Batch{Version: feed.Version{Revision: revision}, Items: []feed.Item{{Key: key, Value: []byte(value), Revision: revision}}}, time.Now())
		s.refresh(time.Now())
	}
	put("q/x", "odd")
	put("u/a", "sound")
	put("u/b", "sound")
	require.Len(t, s.Upstreams("s"), 2)

	put("u/a", "odd")
	require.Len(t, s.Upstreams("s"), 1)
	require.True(t, s.UpstreamGone("a"), "a grant of another host would still be used")
	require.False(t, s.UpstreamGone("b"))

	put("u/a", "sound")
	require.Len(t, s.Upstreams("s"), 2)
	require.False(t, s.UpstreamGone("a"))
	require.Equal(t, 1, strings.Count(text.String(), "quarantine_unreadable"))
}
