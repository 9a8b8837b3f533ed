// Package load generates load on entry hosts: it sends requests to the interface
// for callers, checks every answer against the text that the engine stand-in must
// generate, and measures times.
package load

import (
	"errors"
	"net/http"
	"time"
)

// Config describes a load test.
type Config struct {
	// Addresses are the entry hosts that are asked for the addresses to use.
	Addresses []string
	// Keys are the API keys of organisations. Each request uses a random one.
	Keys  []string
	Model string
	// Rate is the mean number of requests per second of a Poisson process.
	Rate float64
	// The load test sends requests until Duration has passed or Count requests are
	// sent, whichever comes first. 0 is no limit.
	Duration time.Duration
	Count    int
	Mix      Mix
	Seed     uint64
	// MaxTokens is the length of answers in tokens.
	MaxTokens int
	// Timeout is the time limit of a request, which is sent as X-Request-Timeout. A
	// request without an answer after Timeout plus Grace counts as unanswered.
	Timeout time.Duration
	Grace   time.Duration
	// Attempts is the maximum number of times that a request is sent. It is sent
	// again if its host can't be reached, is leaving, or disconnects before the
	// answer is complete.
	Attempts int
	// PrefixShare is the share of a prompt that it has in common with other
	// prompts of the same API key and length.
	PrefixShare float64
	// LongTokens is the prompt length from which a request counts as long in the
	// measurement of head-of-line blocking. Requests of up to ShortTokens count as
	// short.
	LongTokens, ShortTokens int
	// PlainShare is the share of requests that go to PlainPath.
	PlainShare  float64
	PlainPath   string
	PlainMethod string
	// ResendShare is the share of plain calls that are sent again with the same
	// idempotency key after their answer, to check that they don't run twice.
	ResendShare float64
	// Upstreams are the addresses of the plain service's upstreams. At the end of
	// the load test, each of them is asked which calls it ran.
	Upstreams []string
	// Transport sends requests; nil for HTTP over TCP.
	Transport http.RoundTripper
}

// Validate returns an error if the load test would have no end or nothing to send, or
// if a required value is missing.
func (c Config) Validate() error {
	switch {
	case len(c.Addresses) == 0:
		return errors.New("no addresses")
	case len(c.Keys) == 0:
		return errors.New("no API keys")
	case c.Rate <= 0:
		return errors.New("rate must be above 0")
	case c.Duration <= 0 && c.Count <= 0:
		return errors.New("neither duration nor count is set")
	case len(c.Mix) == 0 && c.PlainShare < 1:
		return errors.New("no prompt lengths")
	case c.MaxTokens <= 0 || c.Attempts <= 0 || c.Timeout <= 0:
		return errors.New("max tokens, attempts and timeout must be above 0")
	case c.PlainShare > 0 && c.PlainPath == "":
		return errors.New("no path for plain calls")
	}
	return nil
}
