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
	// findTimeout bounds one question for addresses.
	findTimeout = 5 * time.Second
	// defaultLifetime is used when an answer has no valid lifetime.
	defaultLifetime = 30 * time.Second
)

// errNoAddress reports that no entry host tells the addresses to use.
var errNoAddress = errors.New("no entry host answers")

// finder knows the addresses of entry hosts. It asks again after the lifetime
// of the last answer and when every address of it has failed.
type finder struct {
	client *http.Client
	seeds  []string
	key    string

	// busy holds a value while the lists are in use. It is a channel because
	// the lists are kept in use while an entry host is asked: a mutex held for
	// that long stops the virtual time of a test.
	busy    chan struct{}
	good    []string
	known   []string
	expires time.Time
	rounds  int
}

func newFinder(client *http.Client, cfg Config) *finder {
	return &finder{client: client, seeds: cfg.Addresses, key: cfg.Keys[0], busy: make(chan struct{}, 1)}
}

// next returns the address for the next request.
func (f *finder) next(ctx context.Context) (string, error) {
	f.busy <- struct{}{}
	defer func() { <-f.busy }()
	if len(f.good) == 0 || time.Now().After(f.expires) {
		f.refresh(ctx)
	}
	if len(f.good) == 0 {
		return "", errNoAddress
	}
	f.rounds++
	return f.good[f.rounds%len(f.good)], nil
}

// failed stops the use of an address until the next answer.
func (f *finder) failed(address string) {
	f.busy <- struct{}{}
	defer func() { <-f.busy }()
	var rest []string
	for _, a := range f.good {
		if a != address {
			rest = append(rest, a)
		}
	}
	f.good = rest
}

// refresh asks the addresses in use, then the known ones, then the first ones.
func (f *finder) refresh(ctx context.Context) {
	asked := map[string]bool{}
	for _, list := range [][]string{f.good, f.known, f.seeds} {
		for _, address := range list {
			if asked[address] {
				continue
			}
			asked[address] = true
			addresses, lifetime, err := f.ask(ctx, address)
			if err != nil || len(addresses) == 0 {
				continue
			}
			f.good, f.known = addresses, addresses
			f.expires = time.Now().Add(lifetime)
			return
		}
	}
}

func (f *finder) ask(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", http.NoBody)
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	resp, err := f.client.Do(req)
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
