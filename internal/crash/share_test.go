package crash

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// hosts are the registries of a fleet.
type hosts struct {
	mu sync.Mutex
	// muxes are by the name of the host.
	muxes map[string]*wire.Mux
	// registered and current are those of all hosts, or nil.
	registered func(process string) bool
	current    func() bool
	// store is that of all hosts, or nil.
	store Store
}

func (hs *hosts) mux(name string) *wire.Mux {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.muxes[name]
}

// host is the view of one host.
type host struct {
	*hosts
	name string
}

func (h host) Self() member.Member {
	return member.Member{Name: h.name, PeerAddress: h.name, State: member.Alive}
}

func (h host) Members() []member.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []member.Member
	for name := range h.muxes {
		list = append(list, host{h.hosts, name}.Self())
	}
	return list
}

// Call implements wire.Caller.
func (h host) Call(ctx context.Context, address, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := h.mux(address).Serve(ctx, h.name, method, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// start starts the registry of a host.
func (hs *hosts) start(g *group.Group, name string) *Registry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	mux := wire.NewMux()
	r := NewRegistry(Options{Members: host{hs, name}, Caller: host{hs, name}, Registered: hs.registered, Current: hs.current, Store: hs.store, Group: g, Log: log})
	r.Register(mux)
	hs.mu.Lock()
	hs.muxes[name] = mux
	hs.mu.Unlock()
	g.Go(name, r.Run)
	return r
}

// Guards against a request that ends engine after engine because a planned stop forgets
// which ones it has ended: those that were there know it at once, and each host that
// starts learns it from another.
func TestEndsOutliveTheirHost(t *testing.T) {
	const learned = learnCalls * learnInterval
	synctest.Test(t, func(t *testing.T) {
		g, hs := group.New(t.Context()), &hosts{muxes: map[string]*wire.Mux{}}
		bad, bystander := Content{Whole: 1, Shared: []Part{2}}, Content{Whole: 3, Shared: []Part{2}}
		owner, other := hs.start(g, "owner"), hs.start(g, "other")
		time.Sleep(learned)
		for i := range endsOfKnown {
			owner.Report(Report{Engine: fmt.Sprint("e", i), Content: bad, Begun: true})
		}
		owner.Report(Report{Engine: "e0", Content: bystander, Begun: true})
		synctest.Wait()
		require.Equal(t, []Part{1}, other.Check(bad).Suspects)

		for range 2 {
			next := hs.start(g, "owner")
			time.Sleep(learned)
			require.Equal(t, []Part{1}, next.Check(bad).Suspects)
			require.Empty(t, next.Check(bystander).Suspects)
			hs.start(g, "other")
			time.Sleep(learned)
		}
		g.Stop()
		require.NoError(t, g.Wait())
	})
}
