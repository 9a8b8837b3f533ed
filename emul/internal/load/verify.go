package load

import (
	"context"
	"encoding/json"
	"net/http"
)

// verify asks the upstreams of the plain service which calls they ran, and compares
// these calls with the answers.
func (r *Runner) verify(ctx context.Context) {
	if len(r.cfg.Upstreams) == 0 {
		return
	}
	runCounts := map[string]int{}
	reached := 0
	for _, address := range r.cfg.Upstreams {
		if err := r.readCalls(ctx, address, runCounts); err != nil {
			r.log.WithError(err).WithField("address", address).Warn("calls_unknown")
			continue
		}
		reached++
	}
	r.recorder.recordUpstreamCalls(runCounts, reached == len(r.cfg.Upstreams))
}

// readCalls asks an upstream how many times it ran each call, and adds these numbers to
// runCounts, by idempotency key.
func (r *Runner) readCalls(ctx context.Context, address string, runCounts map[string]int) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/_calls", http.NoBody)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Calls []struct {
			Key   string `json:"key"`
			Count int    `json:"count"`
		} `json:"calls"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return err
	}
	for _, call := range answer.Calls {
		runCounts[call.Key] += call.Count
	}
	return nil
}

// recordUpstreamCalls compares the number of times that each call ran, by idempotency
// key, with the answers. complete says that all upstreams were reached. The calls of an
// upstream that was not reached are unknown, so missing calls are counted only if
// complete is set.
func (r *recorder) recordUpstreamCalls(runCounts map[string]int, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plain.Verified = complete
	for key, call := range r.calls {
		if runCounts[key] > 1 {
			r.plain.Doubled++
		}
		if runCounts[key] > 0 && call.notRun {
			r.plain.RanThoughRefused++
		}
		if complete && runCounts[key] == 0 && call.ok {
			r.plain.MissingThoughOK++
		}
	}
}
