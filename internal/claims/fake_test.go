package claims

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// fakeStore is a linearizable store with faults.
type fakeStore struct {
	dice *netem.Dice

	mu       sync.Mutex
	entries  map[string]plat.Entry
	revision plat.Revision
	puts     int
	bytes    int
	// down refuses every call. lost is the share of writes whose reply is lost:
	// in equal parts before the effect, after it, and with a late effect.
	down  bool
	lost  float64
	delay time.Duration
}

func newFakeStore(d *netem.Dice) *fakeStore {
	return &fakeStore{dice: d, entries: map[string]plat.Entry{}, delay: 4 * time.Millisecond}
}

func (f *fakeStore) set(down bool, lost float64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.lost, f.delay = down, lost, delay
}

func (f *fakeStore) travel(ctx context.Context) error {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	pause(ctx, f.dice.Duration(delay))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || ctx.Err() != nil {
		return fault.New(fault.PlatformDown, "the fake store is down")
	}
	return nil
}

func (f *fakeStore) Get(ctx context.Context, key string) (plat.Entry, error) {
	if err := f.travel(ctx); err != nil {
		return plat.Entry{}, err
	}
	f.mu.Lock()
	e, ok := f.entries[key]
	f.mu.Unlock()
	if err := f.travel(ctx); err != nil {
		return plat.Entry{}, err
	}
	if !ok {
		return plat.Entry{}, fault.New(fault.NotFound, "no such key")
	}
	return e, nil
}

func (f *fakeStore) List(ctx context.Context, prefix string) ([]plat.Entry, error) {
	if err := f.travel(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []plat.Entry
	for key, e := range f.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

func (f *fakeStore) apply(key string, value []byte, base plat.Revision, remove bool) (plat.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entries[key].Revision != base {
		return 0, fault.New(fault.Conflict, "another revision")
	}
	if remove {
		delete(f.entries, key)
		return base, nil
	}
	f.revision++
	f.puts++
	f.bytes += len(value)
	f.entries[key] = plat.Entry{Key: key, Value: value, Revision: f.revision}
	return f.revision, nil
}

func (f *fakeStore) write(ctx context.Context, key string, value []byte, base plat.Revision, remove bool) (plat.Revision, error) {
	if err := f.travel(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	lost := f.lost
	f.mu.Unlock()
	if roll := f.dice.Float(); roll < lost {
		switch {
		case roll < lost/3:
			time.AfterFunc(f.dice.Duration(5*time.Second), func() { _, _ = f.apply(key, value, base, remove) })
		case roll < 2*lost/3:
			_, _ = f.apply(key, value, base, remove)
		}
		return 0, fault.New(fault.ReplyLost, "reply lost")
	}
	revision, err := f.apply(key, value, base, remove)
	if travel := f.travel(ctx); travel != nil {
		return 0, fault.New(fault.ReplyLost, "reply lost in an outage")
	}
	return revision, err
}

func (f *fakeStore) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	return f.write(ctx, key, value, base, false)
}

func (f *fakeStore) Delete(ctx context.Context, key string, base plat.Revision) error {
	_, err := f.write(ctx, key, nil, base, true)
	return err
}

func (f *fakeStore) Watch(ctx context.Context, _ string, _ plat.Revision) (plat.Revision, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// fakeNet delivers calls between nodes; a call to a missing address is
// Unreachable, and a share of replies is lost.
type fakeNet struct {
	dice *netem.Dice

	mu    sync.Mutex
	muxes map[string]*wire.Mux
	lost  float64
	calls int
}

type port struct {
	net  *fakeNet
	node string
}

func (p port) Call(ctx context.Context, address, method string, params, result any) error {
	n := p.net
	n.mu.Lock()
	mux, lost := n.muxes[address], n.lost
	n.calls++
	n.mu.Unlock()
	pause(ctx, n.dice.Duration(2*time.Millisecond))
	if mux == nil {
		return fault.New(fault.Unreachable, "no node at %s", address)
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := mux.Serve(ctx, p.node, method, raw)
	if n.dice.Float() < lost || ctx.Err() != nil {
		return fault.New(fault.ReplyLost, "connection lost")
	}
	if err != nil {
		return err
	}
	raw, err = json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}
