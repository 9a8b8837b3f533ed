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

// retryPause is the wait before a request is sent again.
const retryPause = 100 * time.Millisecond

// bodyHeader is set on the answer to a repeated call when only the outcome of the first
// call was recorded, without the body of its answer.
const bodyHeader = "X-Verbenapier-Body"

// maxIdle is the maximum number of idle connections to each entry host.
const maxIdle = 1024

// Runner sends the requests of a load test.
type Runner struct {
	log         logrus.FieldLogger
	cfg         Config
	client      *http.Client
	resolver    *resolver
	recorder    *recorder
	runningLong atomic.Int64 // number of long requests in progress
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
	return &Runner{log: log, cfg: cfg, client: client, resolver: newResolver(client, cfg), recorder: newRecorder()}, nil
}

// Run sends the requests and waits for all answers. When ctx ends, it sends no new
// requests, and still waits for those in progress.
func (r *Runner) Run(ctx context.Context) Report {
	begin := time.Now()
	planner := newPlanner(r.cfg)
	var group sync.WaitGroup
	for j, ok := planner.next(); ok; j, ok = planner.next() {
		if !sleep(ctx, time.Until(begin.Add(j.offset))) {
			break
		}
		if j.plain {
			if err := planner.setIdempotencyKey(&j); err != nil {
				r.log.WithError(err).Error("could not generate an idempotency key; stopping the load test")
				break
			}
		}
		requestCtx := context.WithoutCancel(ctx)
		group.Go(func() { r.send(requestCtx, j) })
	}
	group.Wait()
	r.verify(context.WithoutCancel(ctx))
	return r.recorder.report(time.Since(begin))
}

// sleep returns false if ctx ends before d has passed.
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

// send sends the request of a job and records the results.
func (r *Runner) send(ctx context.Context, j job) {
	if !j.plain {
		if j.tokens >= r.cfg.LongTokens {
			r.runningLong.Add(1)
			defer r.runningLong.Add(-1)
		}
		r.sendCompletion(ctx, j)
		return
	}
	first := r.sendPlain(ctx, j)
	r.recorder.recordPlain(j, first, false)
	if j.resend {
		r.recorder.recordPlain(j, r.sendPlain(ctx, j), true)
	}
}

// sendCompletion sends a completion with retries, and records its outcome and times.
func (r *Runner) sendCompletion(ctx context.Context, j job) {
	blocked := r.runningLong.Load() > 0 && j.tokens <= r.cfg.ShortTokens
	prompt := j.prompt()
	body, err := json.Marshal(map[string]any{
		"model": r.cfg.Model, "prompt": prompt, "max_tokens": r.cfg.MaxTokens, "stream": true,
	})
	if err != nil {
		r.log.WithError(err).Error("could not encode the request body")
		return
	}
	begin := time.Now()
	var check *checker
	res := r.sendWithRetries(ctx, j, http.MethodPost, "/v1/completions", string(body), func(resp *http.Response) (result, error) {
		check = newChecker(prompt, r.cfg.MaxTokens, r.recorder.observeInterval)
		return check.readStream(resp.Body)
	})
	if res.outcome == outcomeOK {
		res.tokens = r.cfg.MaxTokens
		first := check.first.Sub(begin)
		r.recorder.observeFirstToken(j.tokens, first)
		if j.tokens <= r.cfg.ShortTokens {
			r.recorder.observeShort(first, blocked)
		}
	}
	r.logResult(j, res)
	r.recorder.recordCompletion(res)
}

// sendPlain sends a plain call with retries, with the same idempotency key each time.
func (r *Runner) sendPlain(ctx context.Context, j job) result {
	body := j.body()
	res := r.sendWithRetries(ctx, j, r.cfg.PlainMethod, r.cfg.PlainPath, body, func(resp *http.Response) (result, error) {
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
		if answer.Key != j.idempotencyKey.String() || answer.BodyHash != fmt.Sprintf("%016x", xxhash.Sum64String(body)) {
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

// sendWithRetries sends a request to one entry host after the other until one
// answers, the attempts are used up or the time limit is over. An answer that only says
// that the host is leaving does not count.
func (r *Runner) sendWithRetries(
	ctx context.Context, j job, method, path, body string, read func(*http.Response) (result, error),
) result {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout+r.cfg.Grace)
	defer cancel()
	var res result
	maybeRan := false
	for i := range r.cfg.Attempts {
		if i > 0 {
			r.recorder.countResend()
			if !sleep(ctx, retryPause) {
				break
			}
		}
		address, err := r.resolver.next(ctx)
		if err != nil {
			r.log.WithError(err).Debug("found no entry host to send the request to")
			continue
		}
		current := r.sendOnce(ctx, j, address, method, path, body, read)
		current.maybeRan = maybeRan
		if current.outcome != "" && current.code != hostLeaving {
			return current
		}
		r.resolver.markFailed(address)
		// An attempt that was not sent says nothing about the request, so the
		// result of an earlier attempt stays.
		if !current.unsent {
			maybeRan = maybeRan || current.outcome == ""
			res = current
		}
	}
	if res.outcome == "" {
		res.outcome = outcomeUnanswered
	}
	return res
}

// sendOnce sends a request to one entry host. read reads an answer without an error
// status.
func (r *Runner) sendOnce(
	ctx context.Context, j job, address, method, path, body string, read func(*http.Response) (result, error),
) result {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		r.log.WithError(err).Error("could not build the request")
		return result{}
	}
	// With GetBody the transport could send the request again by itself, and that
	// would not be counted as an attempt.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+j.apiKey)
	req.Header.Set("X-Request-Timeout", r.cfg.Timeout.String())
	if j.plain {
		req.Header.Set("Idempotency-Key", j.idempotencyKey.String())
	}
	resp, err := r.client.Do(req)
	if err != nil {
		r.recorder.countConnectionError(false)
		var dial *net.OpError
		unsent := errors.As(err, &dial) && dial.Op == "dial"
		r.log.WithError(err).WithField("address", address).Debug("entry host did not answer")
		return result{unsent: unsent}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return readError(resp)
	}
	res, err := read(resp)
	if err != nil {
		r.log.WithError(err).WithField("address", address).Debug("could not read the answer")
		r.recorder.countConnectionError(true)
	}
	return res
}
