package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// faultyEngines are engines that all answer in the same way.
type faultyEngines struct {
	*fakeFleet
	start   error
	resume  error
	frames  []engine.Frame
	starts  int
	resumes int
}

func (f *faultyEngines) Start(context.Context, string, engine.StartRequest) (Frames, error) {
	f.starts++
	if f.start != nil {
		return nil, f.start
	}
	return &fixedFrames{frames: f.frames, attempt: f.starts}, nil
}

func (f *faultyEngines) Resume(context.Context, string, string, int, int) (Frames, error) {
	f.resumes++
	if f.resume != nil {
		return nil, f.resume
	}
	return &fixedFrames{}, nil
}

func (f *faultyEngines) Cancel(context.Context, string, string) error { return nil }

// fixedFrames are frames after which the connection ends.
type fixedFrames struct {
	frames  []engine.Frame
	attempt int
}

func (r *fixedFrames) Next() (engine.Frame, error) {
	if len(r.frames) == 0 {
		return engine.Frame{}, fault.New(fault.UpstreamLost, "malformed frame")
	}
	frame := r.frames[0]
	r.frames = r.frames[1:]
	frame.Attempt = r.attempt
	return frame, nil
}

func (*fixedFrames) Close() {}

// Guards against an engine whose answers are no frames and that is asked for them
// without end, against a caller who is told that its request was not run because of a
// refusal of another one, and against a prompt that is suspected because of it.
func TestFaultyEngines(t *testing.T) {
	cases := map[string]struct {
		engines    faultyEngines
		kind       fault.Kind
		maxResumes int
	}{
		"no frames":       {faultyEngines{}, fault.UpstreamLost, maxAttempts * (maxResumeAttempts + 1)},
		"foreign refusal": {faultyEngines{start: fault.Wrap(fault.UpstreamLost, engine.ErrForeignRefusal, "answered 503"), resume: fault.New(fault.NotFound, "no stream")}, fault.UpstreamLost, maxAttempts},
		"refusal":         {faultyEngines{start: fault.New(fault.UpstreamRefused, "answered 503")}, fault.UpstreamRefused, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := group.New(t.Context())
				f := newFakeFleet(1, 1, 0)
				s := newServer(g, f, testDocument())
				tc.engines.fakeFleet = f
				s.options.Engines = &tc.engines
				w := post(t.Context(), s, `{"model":"m","prompt":"p","max_tokens":3}`, nil)
				requireError(t, w, tc.kind, "")
				require.LessOrEqual(t, tc.engines.resumes, tc.maxResumes)
				require.Zero(t, f.recordedCrashes)
				g.Stop()
				require.NoError(t, g.Wait())
			})
		})
	}
}

// Guards against a prompt that is suspected because this node lost its links to an engine
// that other nodes reach.
func TestCrashHasWitnesses(t *testing.T) {
	for name, reached := range map[string]bool{"reached by others": true, "reached by none": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := group.New(t.Context())
				f := newFakeFleet(1, 1, 0)
				f.reachedByOthers = reached
				s := newServer(g, f, testDocument())
				s.options.Engines = &faultyEngines{fakeFleet: f, resume: fault.New(fault.Unreachable, "connection refused")}
				w := post(t.Context(), s, `{"model":"m","prompt":"p","max_tokens":3}`, nil)
				requireError(t, w, fault.UpstreamLost, "")
				require.Equal(t, reached, f.recordedCrashes == 0)
				g.Stop()
				require.NoError(t, g.Wait())
			})
		})
	}
}

// Guards against the text of an engine's error in the middle of a caller's stream, and
// against a stream that then looks complete.
func TestErrorInStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := group.New(t.Context())
		f := newFakeFleet(1, 1, 0)
		s := newServer(g, f, testDocument())
		s.options.Engines = &faultyEngines{fakeFleet: f, frames: []engine.Frame{{Seq: 0, Text: "a"}, {Seq: 1, Error: "secret of the engine"}}}
		w := post(t.Context(), s, `{"model":"m","prompt":"p","max_tokens":3,"stream":true}`, nil)
		require.NotContains(t, w.Body.String(), "secret")
		text, complete, code := readStream(t, w)
		require.Equal(t, "a", text)
		require.False(t, complete)
		require.Equal(t, "upstream_failed", code)
		g.Stop()
		require.NoError(t, g.Wait())
	})
}

// Guards against a plain upstream that says in the name of this host that a call was not
// run.
func TestHeadersOfPlainUpstream(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(runHeader, "no")
		w.Header().Set(replayedHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	s, _ := plainServer(t, server.Listener.Addr().String())
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		path := map[string]string{http.MethodGet: "/orders/7", http.MethodPost: "/orders"}[method]
		w := callPlain(s, method, path, "x")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Empty(t, w.Header().Get(runHeader), method)
		require.Empty(t, w.Header().Get(replayedHeader), method)
	}
}
