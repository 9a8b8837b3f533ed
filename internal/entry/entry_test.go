package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

var (
	seeds    = flag.Int("entry.seeds", 4, "number of seeds of the randomised run")
	requests = flag.Int("entry.requests", 400, "requests of each randomised run")
)

const testKey = "key-of-shop"

type fixedConfig struct{ doc *confd.Document }

func (c fixedConfig) Document() (*confd.Document, uint64, error) {
	if c.doc == nil {
		return nil, 0, fault.New(fault.NoConfig, "no configuration was received yet")
	}
	return c.doc, 1, nil
}

func testDocument() *confd.Document {
	return &confd.Document{
		Services: map[string]confd.Service{"drafting": {
			Kind: confd.KindEngine, Models: []string{"m"},
			TimeLimit: confd.Duration(30 * time.Second), MaxTimeLimit: confd.Duration(time.Minute),
		}},
		Organisations: map[string]confd.Organisation{
			"shop": {Keys: []string{confd.KeyHash(testKey)}, Weight: 1},
		},
	}
}

func newServer(g *group.Group, f *fleet, doc *confd.Document) *Server {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return New(Options{
		Name: "node", Incarnation: 1, FailureDomain: "near",
		Limits: Bounds{
			MaxBody: 1 << 20, MaxBuffered: 8 << 20, MaxRequests: 1000,
			BodyTimeout: time.Second, WriteTimeout: time.Second,
		},
		Configuration: fixedConfig{doc}, Cells: f, Engines: f, Quarantine: open{f}, Admission: f,
		Claims: noClaims{}, Directory: f, Dial: dialer.TCP, Group: g, Log: log, Metrics: tally.NoopScope,
	})
}

func post(ctx context.Context, s *Server, body string, header map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// streamed returns the text of a streamed answer, whether it came to its end,
// and the code of the error in it.
func streamed(t *testing.T, w *httptest.ResponseRecorder) (text string, whole bool, code string) {
	t.Helper()
	lines := bufio.NewScanner(w.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true, ""
		}
		var event struct {
			Choices []struct{ Text string }
			Error   *errorDetail
		}
		require.NoError(t, json.Unmarshal([]byte(data), &event))
		if event.Error != nil {
			return text, false, event.Error.Code
		}
		for _, c := range event.Choices {
			text += c.Text
		}
	}
	return text, false, ""
}

// verdicts counts the ways in which answers break a promise.
type verdicts struct{ wrong, truncated, late, falselyNotRun, whole, failed int }

func (v verdicts) violations() int { return v.wrong + v.truncated + v.late + v.falselyNotRun }

// judge compares an answer with what the fleet ran.
func (v *verdicts) judge(t *testing.T, f *fleet, prompt string, length int, w *httptest.ResponseRecorder, took, limit time.Duration) {
	var want strings.Builder
	for i := range length {
		want.WriteString(expectedPiece(prompt, i))
	}
	f.mu.Lock()
	ran := f.ran[prompt]
	f.mu.Unlock()
	if took > limit+lateTolerance {
		v.late++
	}
	if w.Code != http.StatusOK {
		v.failed++
		if w.Header().Get(runHeader) == string(fault.RunNo) && ran > 0 {
			v.falselyNotRun++
		}
		return
	}
	text, whole, code := streamed(t, w)
	switch {
	case whole && text == want.String():
		v.whole++
	case !whole && code != "" && strings.HasPrefix(want.String(), text):
		v.failed++
	case !whole && code == "":
		v.truncated++
	default:
		v.wrong++
	}
}

// run sends requests with seeded faults and counts the broken promises.
func run(t *testing.T, seed uint64, faults float64, serve func(*Server) http.Handler) (v verdicts, leaked int) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(seed, 6, faults)
		g := group.New(t.Context())
		s := newServer(g, f, testDocument())
		handler := serve(s)
		g.Go("faults", f.disturb)
		results := group.New(t.Context())
		verdictsOf := make(chan verdicts, *requests)
		for i := range *requests {
			results.Go("request", func(ctx context.Context) error {
				pause(ctx, time.Duration(i)*10*time.Millisecond)
				prompt, length := fmt.Sprintf("p%d", i), 1+i%40
				limit := time.Duration(2+i%20) * time.Second
				body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, length)
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+testKey)
				r.Header.Set(timeoutHeader, limit.String())
				w := httptest.NewRecorder()
				began := time.Now()
				handler.ServeHTTP(w, r)
				var one verdicts
				one.judge(t, f, prompt, length, w, time.Since(began), limit)
				verdictsOf <- one
				return nil
			})
		}
		require.NoError(t, results.Wait())
		close(verdictsOf)
		for one := range verdictsOf {
			v.wrong += one.wrong
			v.truncated += one.truncated
			v.late += one.late
			v.falselyNotRun += one.falselyNotRun
			v.whole += one.whole
			v.failed += one.failed
		}
		time.Sleep(2 * fakeDetached)
		leaked = f.held()
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return v, leaked
}

// Guards against answers that are late, wrong, doubled, truncated without an
// error or falsely reported as not run, and against streams left on engines,
// while engines die, go silent, refuse, lose replies and deliver stale,
// doubled and missing frames.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			faults := 1 + 2*float64(seed%2)
			v, leaked := run(t, seed, faults, func(s *Server) http.Handler { return s })
			t.Logf("seed %d: %+v leaked %d", seed, v, leaked)
			require.Zero(t, v.violations(), "%+v", v)
			require.Zero(t, leaked)
			if faults == 1 {
				require.Greater(t, v.whole, *requests/2)
			}
		})
	}
}

// Guards against a randomised run that provokes nothing: a handler without
// sequence checks, resumption and bookkeeping of dispatches breaks promises
// on the same schedule, and none without faults.
func TestNaiveVersionFails(t *testing.T) {
	naive := func(s *Server) http.Handler { return naiveHandler{s} }
	// With three times the fault rate every kind of violation is frequent, so
	// the verdict does not depend on how goroutines interleave.
	v, _ := run(t, 0, 3, naive)
	t.Logf("naive: %+v", v)
	require.Positive(t, v.wrong)
	require.Positive(t, v.falselyNotRun)
	v, _ = run(t, 0, 0, naive)
	require.Zero(t, v.violations(), "%+v", v)
}

// reserving admits one dispatch alone at a time, like the quarantine for a
// suspect.
type reserving struct {
	open
	runner string
}

func (r *reserving) Admit(ctx context.Context, d Dispatch) (bool, error) {
	for r.runner != "" {
		if pause(ctx, time.Millisecond); ctx.Err() != nil {
			return false, fault.New(fault.NotStarted, "the suspect waited until its time limit")
		}
	}
	r.runner = d.ID
	return true, nil
}

func (r *reserving) Release(_ context.Context, d Dispatch) error {
	if r.runner == d.ID {
		r.runner = ""
	}
	return nil
}

// Guards against a suspect that waits until its time limit for its own earlier
// dispatch, which no engine began.
func TestSuspectIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2, 0)
		f.engines[0].alive = false
		g := group.New(t.Context())
		s := newServer(g, f, testDocument())
		s.options.Quarantine = &reserving{open: open{f}}
		for i := range 8 {
			s.options.Quarantine.(*reserving).runner = ""
			w := post(t.Context(), s, fmt.Sprintf(`{"model":"m","prompt":"p%d","max_tokens":2}`, i), nil)
			if w.Code != http.StatusOK {
				requireError(t, w, fault.Unreachable, "")
			}
		}
		require.NoError(t, g.Wait())
	})
}
