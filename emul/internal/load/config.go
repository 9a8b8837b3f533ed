// Package load sends requests to the callers' interface of entry hosts, checks
// every answer against the text that the engine stand-in must generate, and
// measures.
package load

import (
	"errors"
	"net/http"
	"time"
)

// Config describes a run.
type Config struct {
	// Addresses are asked for the addresses to use.
	Addresses []string
	// Keys are the API keys of organisations, used in turn at random.
	Keys  []string
	Model string
	// Rate is the mean number of requests per second of a Poisson process.
	Rate float64
	// The run ends after Duration or Count requests, whichever is set and
	// comes first.
	Duration time.Duration
	Count    int
	Mix      Mix
	Seed     uint64
	// MaxTokens is the length of answers.
	MaxTokens int
	// Timeout is sent as X-Request-Timeout. A request without an end Grace
	// later has got no answer.
	Timeout time.Duration
	Grace   time.Duration
	// Attempts bounds how often a request is sent when its host fails, is
	// leaving or cuts the answer.
	Attempts int
	// PrefixShare is the share of a prompt that is common to prompts of its
	// organisation and length.
	PrefixShare float64
	// LongTokens is the prompt length from which a request counts as long in
	// the measure of blocking; requests up to ShortTokens count as short.
	LongTokens, ShortTokens int
	// PlainShare is the share of requests that go to PlainPath.
	PlainShare  float64
	PlainPath   string
	PlainMethod string
	// ResendShare is the share of plain calls that are sent again with the
	// same key after their answer.
	ResendShare float64
	// Upstreams are the addresses of the plain service's upstreams. They are
	// asked which calls ran.
	Upstreams []string
	// Transport sends requests; nil for HTTP over TCP.
	Transport http.RoundTripper
}

// Validate returns an error for a run that has no end or nothing to send.
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
