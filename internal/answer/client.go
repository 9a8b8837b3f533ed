package answer

import "net/http"

// NewClient returns a client that sends through the given transport. A redirect is an
// answer like others: following it would send a request to an address that the caller of
// the client did not choose, and some requests a second time.
func NewClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
