package answer

import "net/http"

// Client sends requests and reads answers within a bound of memory.
type Client struct {
	*http.Client
	memory Memory
}

// NewClient returns a client that sends through the given transport. A redirect is an
// answer like others: following it would send a request to an address that the caller of
// the client did not choose, and some requests a second time.
func NewClient(transport http.RoundTripper, memory Memory) *Client {
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{client, memory}
}

// Hold returns a hold of nothing for an answer whose body is read in parts.
func (c *Client) Hold() *Hold { return NewHold(c.memory) }
