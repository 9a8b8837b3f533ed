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

// fakeStore is a linearizable in-memory store that can inject faults.
type fakeStore struct {
	random *netem.Random

	mu       sync.Mutex
	entries  map[string]plat.Entry
	revision plat.Revision
	puts     int
	bytes    int
	// down makes every call fail. lossRate is the share of writes whose reply is
	// lost: one third each without an effect, with an immediate effect and with
	// a late effect. delay is the upper bound of the random delay in each
	// direction.
	down     bool
	lossRate float64
	// panics counts down the calls that are still to panic.
	panics int
	delay  time.Duration
}

func newFakeStore(random *netem.Random) *fakeStore {
	return &fakeStore{random: random, entries: map[string]plat.Entry{}, delay: 4 * time.Millisecond}
}

func (f *fakeStore) setFaults(down bool, lossRate float64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.lossRate, f.delay = down, lossRate, delay
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

// delayCall simulates one direction of the connection to the store.
func (f *fakeStore) delayCall(ctx context.Context) error {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	pause(ctx, f.random.Duration(delay))
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
	if err := f.delayCall(ctx); err != nil {
		return plat.Entry{}, err
	}
	f.mu.Lock()
	e, ok := f.entries[key]
	f.mu.Unlock()
	if err := f.delayCall(ctx); err != nil {
		return plat.Entry{}, err
	}
	if !ok {
		return plat.Entry{}, fault.New(fault.NotFound, "no such key")
	}
	return e, nil
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
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

// apply executes a write or, with remove, a deletion by compare-and-swap.
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
	if err := f.delayCall(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	lossRate := f.lossRate
	f.mu.Unlock()
	if sample := f.random.Float64(); sample < lossRate {
		switch {
		case sample < lossRate/3:
			time.AfterFunc(f.random.Duration(5*time.Second), func() { _, _ = f.apply(key, value, base, remove) })
		case sample < 2*lossRate/3:
			_, _ = f.apply(key, value, base, remove)
		}
		return 0, fault.New(fault.ReplyLost, "reply lost")
	}
	revision, err := f.apply(key, value, base, remove)
	if replyErr := f.delayCall(ctx); replyErr != nil {
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

// fakeNet delivers calls between nodes. A call to an unknown address is
// Unreachable. lossRate is the share of replies that are lost.
type fakeNet struct {
	random *netem.Random

	mu       sync.Mutex
	muxes    map[string]*wire.Mux
	lossRate float64
	calls    int
}

// fakeCaller is a node's connection to a fakeNet.
type fakeCaller struct {
	net  *fakeNet
	node string
}

func (c fakeCaller) Call(ctx context.Context, address, method string, params, result any) error {
	n := c.net
	n.mu.Lock()
	mux, lossRate := n.muxes[address], n.lossRate
	n.calls++
	n.mu.Unlock()
	pause(ctx, n.random.Duration(2*time.Millisecond))
	if mux == nil {
		return fault.New(fault.Unreachable, "no node at %s", address)
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := mux.Serve(ctx, c.node, method, raw)
	if n.random.Float64() < lossRate || ctx.Err() != nil {
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
