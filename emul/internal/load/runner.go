package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// pause is the wait before a request is sent again.
const pause = 100 * time.Millisecond

// bodyHeader marks the recorded outcome of a call whose body was not kept.
const bodyHeader = "X-Verbenapier-Body"

// maxIdle is the number of idle connections kept to each entry host.
const maxIdle = 1024

// Runner sends the requests of a run.
type Runner struct {
	log    logrus.FieldLogger
	cfg    Config
	client *http.Client
	finder *finder
	record *recorder
	long   atomic.Int64 // long requests that are running
}

// New returns a runner, or the error of an invalid configuration.
func New(log logrus.FieldLogger, cfg Config) (*Runner, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: time.Minute}
	}
	client := &http.Client{Transport: cfg.Transport}
	return &Runner{log: log, cfg: cfg, client: client, finder: newFinder(client, cfg), record: newRecorder()}, nil
}

// Run sends the requests and waits for all answers. When ctx ends no more are
// sent; those that run are waited for.
func (r *Runner) Run(ctx context.Context) Report {
	begin := time.Now()
	plan := newPlanner(r.cfg)
	var group sync.WaitGroup
	for j, ok := plan.next(); ok; j, ok = plan.next() {
		if !sleep(ctx, time.Until(begin.Add(j.at))) {
			break
		}
		if j.plain {
			if err := plan.stamp(&j); err != nil {
				r.log.WithError(err).Error("no_key")
				break
			}
		}
		request := context.WithoutCancel(ctx)
		group.Go(func() { r.send(request, j) })
	}
	group.Wait()
	r.verify(context.WithoutCancel(ctx))
	return r.record.report(time.Since(begin))
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) send(ctx context.Context, j job) {
	if !j.plain {
		if j.tokens >= r.cfg.LongTokens {
			r.long.Add(1)
			defer r.long.Add(-1)
		}
		r.complete(ctx, j)
		return
	}
	first := r.plainCall(ctx, j)
	r.record.plainResult(j, first, false)
	if j.resend {
		r.record.plainResult(j, r.plainCall(ctx, j), true)
	}
}

// complete sends a completion until it has an answer.
func (r *Runner) complete(ctx context.Context, j job) {
	blocked := r.long.Load() > 0 && j.tokens <= r.cfg.ShortTokens
	prompt := j.prompt()
	body, err := json.Marshal(map[string]any{
		"model": r.cfg.Model, "prompt": prompt, "max_tokens": r.cfg.MaxTokens, "stream": true,
	})
	if err != nil {
		r.log.WithError(err).Error("body_not_encoded")
		return
	}
	begin := time.Now()
	var check *checker
	res := r.attempts(ctx, j, http.MethodPost, "/v1/completions", string(body), func(resp *http.Response) (result, error) {
		check = newChecker(prompt, r.cfg.MaxTokens, r.record.interval)
		return check.readStream(resp.Body)
	})
	if res.outcome == outcomeOK {
		res.tokens = r.cfg.MaxTokens
		first := check.first.Sub(begin)
		r.record.firstToken(j.tokens, first)
		if j.tokens <= r.cfg.ShortTokens {
			r.record.short(first, blocked)
		}
	}
	r.logResult(j, res)
	r.record.result(res)
}

// plainCall sends a plain call until it has an answer, with the same key each
// time.
func (r *Runner) plainCall(ctx context.Context, j job) result {
	body := j.body()
	res := r.attempts(ctx, j, r.cfg.PlainMethod, r.cfg.PlainPath, body, func(resp *http.Response) (result, error) {
		if resp.Header.Get(bodyHeader) != "" {
			return result{outcome: outcomeOK}, nil
		}
		var answer struct {
			Key      string `json:"key"`
			BodyHash string `json:"body_hash"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
			return result{}, err
		}
		if answer.Key != j.unique.String() || answer.BodyHash != fmt.Sprintf("%016x", xxhash.Sum64String(body)) {
			return result{outcome: outcomeWrong}, nil
		}
		return result{outcome: outcomeOK}, nil
	})
	r.logResult(j, res)
	return res
}

func (r *Runner) logResult(j job, res result) {
	r.log.WithFields(logrus.Fields{
		"request": j.number, "tokens": j.tokens, "outcome": res.outcome, "code": res.code, "run": res.run,
	}).Debug("request_ended")
}

// attempts sends a request to one entry host after the other until one answers
// or the time limit is over.
func (r *Runner) attempts(
	ctx context.Context, j job, method, path, body string, read func(*http.Response) (result, error),
) result {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout+r.cfg.Grace)
	defer cancel()
	var res result
	unsure := false
	for i := range r.cfg.Attempts {
		if i > 0 {
			r.record.resent()
			if !sleep(ctx, pause) {
				break
			}
		}
		address, err := r.finder.next(ctx)
		if err != nil {
			r.log.WithError(err).Debug("no_address")
			continue
		}
		this := r.attempt(ctx, j, address, method, path, body, read)
		this.unsure = unsure
		if this.outcome != "" && this.code != hostLeaving {
			return this
		}
		r.finder.failed(address)
		// A host that can't be reached changes nothing of what others said.
		if !this.unsent {
			unsure = unsure || this.outcome == ""
			res = this
		}
	}
	if res.outcome == "" {
		res.outcome = outcomeUnanswered
	}
	return res
}

func (r *Runner) attempt(
	ctx context.Context, j job, address, method, path, body string, read func(*http.Response) (result, error),
) result {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		r.log.WithError(err).Error("request_not_built")
		return result{}
	}
	// A request that is sent again by the transport would not be counted.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+j.key)
	req.Header.Set("X-Request-Timeout", r.cfg.Timeout.String())
	if j.plain {
		req.Header.Set("Idempotency-Key", j.unique.String())
	}
	resp, err := r.client.Do(req)
	if err != nil {
		r.record.lost(false)
		var dial *net.OpError
		unsent := errors.As(err, &dial) && dial.Op == "dial"
		r.log.WithError(err).WithField("address", address).Debug("no_answer")
		return result{unsent: unsent}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return readError(resp)
	}
	res, err := read(resp)
	if err != nil {
		r.log.WithError(err).WithField("address", address).Debug("answer_cut")
		r.record.lost(true)
	}
	return res
}
