package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// queryTimeout bounds a query to an entry host for addresses, or to an upstream
	// for the calls that it ran.
	queryTimeout = 5 * time.Second
	// defaultLifetime is the lifetime of a list of addresses whose answer gives no
	// valid lifetime.
	defaultLifetime = 30 * time.Second
)

// errNoAddress reports that no entry host answers the query for addresses.
var errNoAddress = errors.New("no entry host answers")

// resolver keeps the addresses of entry hosts, which it gets from the entry hosts
// themselves. It queries them again after the lifetime of the last answer, and when
// every address in that answer has failed.
type resolver struct {
	client     *http.Client
	configured []string
	apiKey     string

	// lock guards the fields below. Sending to the channel acquires the lock,
	// receiving releases it. The lock is held while an entry host is queried. It is
	// not a mutex, because the virtual time of testing/synctest doesn't advance
	// while a goroutine waits for a mutex.
	lock       chan struct{}
	usable     []string // addresses of the last answer that have not failed
	lastAnswer []string
	expires    time.Time // end of the lifetime of the last answer
	picks      int       // number of addresses returned by next
}

func newResolver(client *http.Client, cfg Config) *resolver {
	return &resolver{client: client, configured: cfg.Addresses, apiKey: cfg.Keys[0], lock: make(chan struct{}, 1)}
}

// next returns the address for the next request. It takes the usable addresses in turn.
func (r *resolver) next(ctx context.Context) (string, error) {
	r.lock <- struct{}{}
	defer func() { <-r.lock }()
	if len(r.usable) == 0 || time.Now().After(r.expires) {
		r.refresh(ctx)
	}
	if len(r.usable) == 0 {
		return "", errNoAddress
	}
	r.picks++
	return r.usable[r.picks%len(r.usable)], nil
}

// markFailed excludes an address until the next query.
func (r *resolver) markFailed(address string) {
	r.lock <- struct{}{}
	defer func() { <-r.lock }()
	var rest []string
	for _, a := range r.usable {
		if a != address {
			rest = append(rest, a)
		}
	}
	r.usable = rest
}

// refresh queries one address after the other until one answers: first the usable
// ones, then the others of the last answer, then the configured ones.
func (r *resolver) refresh(ctx context.Context) {
	asked := map[string]bool{}
	for _, list := range [][]string{r.usable, r.lastAnswer, r.configured} {
		for _, address := range list {
			if asked[address] {
				continue
			}
			asked[address] = true
			addresses, lifetime, err := r.query(ctx, address)
			if err != nil || len(addresses) == 0 {
				continue
			}
			r.usable, r.lastAnswer = addresses, addresses
			r.expires = time.Now().Add(lifetime)
			return
		}
	}
}

// query asks an entry host for the addresses to use and their lifetime.
func (r *resolver) query(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", http.NoBody)
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+r.apiKey)
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	var answer struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
		Lifetime string `json:"lifetime"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	lifetime, err := time.ParseDuration(answer.Lifetime)
	if err != nil || lifetime <= 0 {
		lifetime = defaultLifetime
	}
	var list []string
	for _, a := range answer.Addresses {
		list = append(list, a.Address)
	}
	return list, lifetime, nil
}
