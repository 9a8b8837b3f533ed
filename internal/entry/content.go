package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Content is what is known of prompts' beginnings that crash engines (see
// crash.Registry).
type Content interface {
	Check(c crash.Content) crash.Verdict
	Began(c crash.Content)
	Report(r crash.Report)
}

// contentGate lets prompts with a suspected beginning run one at a time on this node.
type contentGate struct {
	content Content

	mu sync.Mutex
	// unanswered holds the contents of attempts that have no token yet.
	unanswered map[*transfer]crash.Content
}

func newContentGate(c Content) *contentGate {
	return &contentGate{content: c, unanswered: map[*transfer]crash.Content{}}
}

// prefixContent identifies the beginnings of a prompt that other prompts may share.
// The prompt as a whole is known to the Quarantine.
func prefixContent(prefixes []string) crash.Content {
	var c crash.Content
	for i, hash := range prefixes {
		c.Shared = append(c.Shared, crash.NewPart(nil, strconv.Itoa(i), hash))
	}
	return c
}

// admit waits while another attempt of this node with the same suspected beginning has
// no token yet. It returns the suspected parts; the attempt is then a trial and must
// run alone on its engine. The error is of kind Quarantined if the beginning is
// quarantined.
func (g *contentGate) admit(ctx context.Context, t *transfer, c crash.Content) ([]crash.Part, error) {
	for {
		v := g.content.Check(c)
		if v.RefusedFor > 0 {
			until := time.Now().Add(v.RefusedFor)
			return nil, fault.New(fault.Quarantined, "prompts with this beginning crashed engines and are quarantined until %s", until.UTC().Format(time.RFC3339))
		}
		if g.enter(t, c, v.Suspects) {
			return v.Suspects, nil
		}
		if !group.Sleep(ctx, jitter(retryDelay)) {
			return nil, fault.Wrap(fault.NotStarted, ctx.Err(), "the prompt waited for the trial of its beginning until its time limit")
		}
	}
}

// enter adds an attempt unless one with any of the suspects has no token yet.
func (g *contentGate) enter(t *transfer, c crash.Content, suspects []crash.Part) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.unanswered {
		if other.Intersects(suspects) {
			return false
		}
	}
	g.unanswered[t] = c
	return true
}

// answered records the first token of an attempt.
func (g *contentGate) answered(t *transfer) {
	g.mu.Lock()
	c, ok := g.unanswered[t]
	delete(g.unanswered, t)
	g.mu.Unlock()
	if ok {
		g.content.Began(c)
	}
}

// end removes an attempt. If its engine crashed before the first token, the crash is
// reported first, so that a waiting prompt with the same beginning learns of it.
func (g *contentGate) end(t *transfer, suspects []crash.Part) {
	g.mu.Lock()
	c, unanswered := g.unanswered[t]
	g.mu.Unlock()
	if unanswered && t.crashed {
		g.content.Report(crash.Report{Engine: t.grant.Engine + "/" + t.grant.ID, Content: c, Suspects: suspects})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unanswered, t)
}
