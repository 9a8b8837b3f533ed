package load

import (
	"context"
	"encoding/json"
	"net/http"
)

// verify asks the upstreams of the plain service which calls ran, and compares
// that with what the callers were told.
func (r *Runner) verify(ctx context.Context) {
	if len(r.cfg.Upstreams) == 0 {
		return
	}
	ran := map[string]int{}
	reached := 0
	for _, address := range r.cfg.Upstreams {
		if err := r.readCalls(ctx, address, ran); err != nil {
			r.log.WithError(err).WithField("address", address).Warn("calls_unknown")
			continue
		}
		reached++
	}
	r.record.verified(ran, reached == len(r.cfg.Upstreams))
}

func (r *Runner) readCalls(ctx context.Context, address string, ran map[string]int) error {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
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
		ran[call.Key] += call.Count
	}
	return nil
}

// verified records what the upstreams ran. An upstream that has lost its record
// hides calls, so that missing ones count only if all have answered.
func (r *recorder) verified(ran map[string]int, all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plain.Verified = all
	for key, call := range r.calls {
		if ran[key] > 1 {
			r.plain.Doubled++
		}
		if ran[key] > 0 && call.refused {
			r.plain.RanThoughRefused++
		}
		if all && ran[key] == 0 && call.ok {
			r.plain.MissingThoughOK++
		}
	}
}
