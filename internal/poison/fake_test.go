package poison

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// fakeStore is a linearizable in-memory store that can inject outages and lost
// replies.
type fakeStore struct {
	random *netem.Random

	mu       sync.Mutex
	entries  map[string]plat.Entry
	revision plat.Revision
	// down makes every call fail. lossRate is the share of writes whose reply is
	// lost. Half of these writes have no effect.
	down     bool
	lossRate float64
	// panics counts down the calls that are still to panic.
	panics int
}

func newFakeStore(random *netem.Random) *fakeStore {
	return &fakeStore{random: random, entries: map[string]plat.Entry{}}
}

func (f *fakeStore) set(down bool, lossRate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.lossRate = down, lossRate
}

// injectPanics makes the next calls panic.
func (f *fakeStore) injectPanics(calls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.panics = calls
}

func (f *fakeStore) panicsLeft() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.panics
}

// delayCall simulates the connection to the store.
func (f *fakeStore) delayCall(ctx context.Context) error {
	pause(ctx, f.random.Duration(4*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.panics > 0 {
		f.panics--
		panic("injected in the store")
	}
	if f.down || ctx.Err() != nil {
		return fault.New(fault.PlatformDown, "the fake store is down")
	}
	return nil
}

func (f *fakeStore) Get(ctx context.Context, key string) (plat.Entry, error) {
	list, err := f.List(ctx, key)
	for _, e := range list {
		if e.Key == key {
			return e, nil
		}
	}
	if err == nil {
		err = fault.New(fault.NotFound, "no such key")
	}
	return plat.Entry{}, err
}

func (f *fakeStore) List(ctx context.Context, prefix string) ([]plat.Entry, error) {
	if err := f.delayCall(ctx); err != nil {
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
	return list, nil
}

func (f *fakeStore) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	if err := f.delayCall(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	sample := f.random.Float64()
	if sample < f.lossRate/2 {
		return 0, fault.New(fault.ReplyLost, "lost before the effect")
	}
	if f.entries[key].Revision != base {
		return 0, fault.New(fault.Conflict, "another revision")
	}
	f.revision++
	f.entries[key] = plat.Entry{Key: key, Value: value, Revision: f.revision}
	if sample < f.lossRate {
		return 0, fault.New(fault.ReplyLost, "lost after the effect")
	}
	return f.revision, nil
}

func (f *fakeStore) Delete(context.Context, string, plat.Revision) error {
	return fault.New(fault.Invalid, "records are not deleted")
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after plat.Revision) (plat.Revision, error) {
	for range 80 {
		if err := f.delayCall(ctx); err != nil {
			return 0, err
		}
		f.mu.Lock()
		revision := f.revision
		f.mu.Unlock()
		if revision > after {
			return revision, nil
		}
		pause(ctx, 100*time.Millisecond)
	}
	return after, nil
}

// fakeNet delivers calls between all nodes except the isolated one.
type fakeNet struct {
	random *netem.Random

	mu       sync.Mutex
	muxes    map[string]*wire.Mux
	isolated string
}

// fakeCaller is a node's connection to a fakeNet.
type fakeCaller struct {
	net  *fakeNet
	node string
}

func (c fakeCaller) Call(ctx context.Context, address, method string, params, result any) error {
	n := c.net
	n.mu.Lock()
	mux, isolated := n.muxes[address], n.isolated
	n.mu.Unlock()
	if mux == nil || isolated == address || isolated == c.node {
		if n.random.IntN(4) == 0 {
			<-ctx.Done()
		}
		return fault.New(fault.Unreachable, "no connection")
	}
	pause(ctx, n.random.Duration(2*time.Millisecond))
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := mux.Serve(ctx, c.node, method, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}
