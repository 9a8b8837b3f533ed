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

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/internal/quota"
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

func newServer(g *group.Group, f *fakeFleet, doc *confd.Document) *Server {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return New(Options{
		Name: "node", Incarnation: 1, FailureDomain: "near",
		Limits: Limits{
			MaxBody: 1 << 20, MaxRequests: 1000,
			BodyTimeout: time.Second, WriteTimeout: time.Second,
		},
		Configuration: fixedConfig{doc}, Cells: f, Engines: f, Witnesses: f, Quarantine: admitAll{f}, Content: nodeContent{crash.NewTracker()}, Admission: f,
		Claims: noClaims{}, Directory: f, Drain: drain.New(log), Quota: newQuota(log, 64<<20), Dial: dialer.TCP, Answers: newAnswers(), Group: g, Log: log, Metrics: tally.NoopScope,
	})
}

// newAnswers returns the bound on answers of a host with plenty of memory.
func newAnswers() answer.Memory { return quota.UpstreamAnswers(1 << 30) }

// newQuota returns the quota of a host with the given memory in bytes.
func newQuota(log logrus.FieldLogger, memory int64) *quota.Quota {
	return quota.New(quota.Options{Memory: memory, Files: 1024, Log: log, Metrics: tally.NoopScope})
}

// requireNothingHeld requires that the memory for bodies and answers was released.
func requireNothingHeld(t *testing.T, s *Server) {
	t.Helper()
	held, _ := s.options.Quota.Held()
	require.Zero(t, held)
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

// readStream returns the text of a streamed response, whether the response is
// complete, and the code of the error event if there is one.
func readStream(t *testing.T, w *httptest.ResponseRecorder) (text string, complete bool, code string) {
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

// responseCounts counts responses by result. The first four results violate a
// guarantee.
type responseCounts struct{ wrong, truncated, late, falselyNotRun, whole, failed int }

func (c responseCounts) violations() int { return c.wrong + c.truncated + c.late + c.falselyNotRun }

// classify compares a response with what the fake engines ran, and counts it.
func (c *responseCounts) classify(t *testing.T, f *fakeFleet, prompt string, length int, w *httptest.ResponseRecorder, took, limit time.Duration) {
	var expected strings.Builder
	for i := range length {
		expected.WriteString(expectedPiece(prompt, i))
	}
	f.mu.Lock()
	ran := f.startsByPrompt[prompt]
	f.mu.Unlock()
	if took > limit+lateTolerance {
		c.late++
	}
	if w.Code != http.StatusOK {
		c.failed++
		if w.Header().Get(runHeader) == string(fault.RunNo) && ran > 0 {
			c.falselyNotRun++
		}
		return
	}
	text, complete, code := readStream(t, w)
	switch {
	case complete && text == expected.String():
		c.whole++
	case !complete && code != "" && strings.HasPrefix(expected.String(), text):
		c.failed++
	case !complete && code == "":
		c.truncated++
	default:
		c.wrong++
	}
}

// runWithFaults sends requests while seeded faults occur. It returns the
// counts of the responses and the number of streams left on engines.
func runWithFaults(t *testing.T, seed uint64, faults float64, serve func(*Server) http.Handler) (counts responseCounts, leaked int) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(seed, 6, faults)
		g := group.New(t.Context())
		s := newServer(g, f, testDocument())
		handler := serve(s)
		g.Go("faults", f.injectFaults)
		callers := group.New(t.Context())
		results := make(chan responseCounts, *requests)
		for i := range *requests {
			callers.Go("request", func(ctx context.Context) error {
				sleep(ctx, time.Duration(i)*10*time.Millisecond)
				prompt, length := fmt.Sprintf("p%d", i), 1+i%40
				limit := time.Duration(2+i%20) * time.Second
				body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, length)
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+testKey)
				r.Header.Set(timeoutHeader, limit.String())
				w := httptest.NewRecorder()
				began := time.Now()
				handler.ServeHTTP(w, r)
				var result responseCounts
				result.classify(t, f, prompt, length, w, time.Since(began), limit)
				results <- result
				return nil
			})
		}
		require.NoError(t, callers.Wait())
		close(results)
		for result := range results {
			counts.wrong += result.wrong
			counts.truncated += result.truncated
			counts.late += result.late
			counts.falselyNotRun += result.falselyNotRun
			counts.whole += result.whole
			counts.failed += result.failed
		}
		time.Sleep(2 * fakeDetachTimeout)
		leaked = f.streamCount()
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return counts, leaked
}

// Guards against responses that are late, wrong, duplicated, truncated without
// an error or falsely reported as not run, and against streams left on
// engines, while engines die, stop answering, refuse requests, lose replies
// and deliver stale, duplicate and missing frames.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			faults := 1 + 2*float64(seed%2)
			counts, leaked := runWithFaults(t, seed, faults, func(s *Server) http.Handler { return s })
			t.Logf("seed %d: %+v leaked %d", seed, counts, leaked)
			require.Zero(t, counts.violations(), "%+v", counts)
			require.Zero(t, leaked)
			if faults == 1 {
				require.Greater(t, counts.whole, *requests/2)
			}
		})
	}
}

// Guards against a randomised run whose faults provoke no violations: under
// the same faults, a handler that does not check sequence numbers, resume
// streams or keep track of dispatches must violate the guarantees. Without
// faults it must not.
func TestNaiveVersionFails(t *testing.T) {
	naive := func(s *Server) http.Handler { return naiveHandler{s} }
	// With three times the fault rate every kind of violation is frequent, so
	// the result does not depend on how goroutines interleave.
	counts, _ := runWithFaults(t, 0, 3, naive)
	t.Logf("naive: %+v", counts)
	require.Positive(t, counts.wrong)
	require.Positive(t, counts.falselyNotRun)
	counts, _ = runWithFaults(t, 0, 0, naive)
	require.Zero(t, counts.violations(), "%+v", counts)
}

// exclusiveQuarantine admits one dispatch at a time, to run alone, as the
// quarantine does for a suspect.
type exclusiveQuarantine struct {
	admitAll
	reservedBy string
}

func (q *exclusiveQuarantine) Admit(ctx context.Context, d Dispatch) (bool, error) {
	for q.reservedBy != "" {
		if sleep(ctx, time.Millisecond); ctx.Err() != nil {
			return false, fault.New(fault.NotStarted, "the suspect waited until its time limit")
		}
	}
	q.reservedBy = d.ID
	return true, nil
}

func (q *exclusiveQuarantine) Release(_ context.Context, d Dispatch) error {
	if q.reservedBy == d.ID {
		q.reservedBy = ""
	}
	return nil
}

// Guards against a suspect prompt that waits until its time limit and then
// fails. That happens if an earlier dispatch of the prompt keeps its reservation
// although no engine started it.
func TestSuspectIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1, 2, 0)
		f.engines[0].alive = false
		g := group.New(t.Context())
		s := newServer(g, f, testDocument())
		s.options.Quarantine = &exclusiveQuarantine{admitAll: admitAll{f}}
		for i := range 8 {
			s.options.Quarantine.(*exclusiveQuarantine).reservedBy = ""
			w := post(t.Context(), s, fmt.Sprintf(`{"model":"m","prompt":"p%d","max_tokens":2}`, i), nil)
			if w.Code != http.StatusOK {
				requireError(t, w, fault.Unreachable, "")
			}
		}
		require.NoError(t, g.Wait())
	})
}
