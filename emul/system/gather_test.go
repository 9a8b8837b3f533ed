package system

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// hugePrompt needs the memory of three engines.
	hugePrompt = 2*capacity + capacity/2
	hugeLimit  = 2 * time.Minute
	hugeAnswer = 16
)

// huge is a run of huge prompts in one cell of four engines while short
// requests go on.
type huge struct {
	// prompts are sent at once, to one node each.
	prompts int
	faults  func(d *deployment)
	// mayFail allows a clear error instead of an answer, cut a closed
	// connection.
	mayFail, cut bool
}

// Guards against a prompt larger than one engine that is not answered, that
// stops short requests, that waits for another such prompt forever, or whose
// memory stays taken.
func TestHugePrompt(t *testing.T) {
	for name, c := range map[string]huge{
		"alone":         {prompts: 1},
		"two at once":   {prompts: 2},
		"member dies":   {prompts: 1, mayFail: true, faults: func(d *deployment) { d.killHolder(false) }},
		"leader dies":   {prompts: 1, mayFail: true, faults: func(d *deployment) { d.killHolder(true) }},
		"entry is lost": {prompts: 1, cut: true, faults: func(d *deployment) { d.killNode(0) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHuge(t, c) })
		})
	}
}

func runHuge(t *testing.T, c huge) {
	d := deployPlan(t, plan{engines: 4, engineDomains: domains[:1]})
	defer d.close()
	replies := make([]reply, c.prompts)
	took := make([]time.Duration, c.prompts)
	big := group.New(t.Context())
	for i := range replies {
		big.Go("huge", func(context.Context) error {
			caller := d.caller(key)
			defer caller.close()
			begin := time.Now()
			replies[i] = caller.stream(i, promptOf(hugeText(i), hugePrompt), hugeAnswer, hugeLimit)
			took[i] = time.Since(begin)
			return nil
		})
	}
	small := group.New(t.Context())
	answered, slowest := 0, time.Duration(0)
	var failed []string
	small.Go("short", func(ctx context.Context) error {
		caller := d.caller(key)
		defer caller.close()
		for i := 0; ctx.Err() == nil; i++ {
			// Node 0 may be lost.
			r := caller.stream(1+i%2, fmt.Sprintf("short-%d", i), 4, 20*time.Second)
			if r.ok() {
				answered++
				slowest = max(slowest, r.firstToken)
			} else {
				failed = append(failed, fmt.Sprintf("%d %s %v", r.status, r.code, r.err))
			}
			wait(ctx, 250*time.Millisecond)
		}
		return nil
	})
	if c.faults != nil {
		time.Sleep(3 * time.Second)
		c.faults(d)
	}
	require.NoError(t, big.Wait())
	small.Stop()
	require.NoError(t, small.Wait())
	for i, r := range replies {
		t.Logf("prompt %d: %d %q after %v, %d pieces, engines %v, error %v", i, r.status, r.code, took[i], r.pieces, d.ran[promptOf(hugeText(i), hugePrompt)], r.err)
		require.Less(t, took[i], hugeLimit+5*time.Second)
		require.True(t, r.ok() || (c.mayFail && r.code != "") || (c.cut && r.err != nil))
		if r.ok() {
			require.True(t, r.done)
			require.Equal(t, hugeAnswer, r.pieces)
		}
	}
	t.Logf("short requests: %d answered, slowest first token %v, failed %v", answered, slowest, failed)
	require.Positive(t, answered)
	require.Empty(t, failed)
	time.Sleep(settleTime)
	require.Zero(t, d.heldTokens(), "memory that stays taken")
}

func hugeText(i int) string { return fmt.Sprintf("huge-%d", i) }

// killHolder kills an engine that holds a part of the first huge prompt: the
// one that runs it, or another. The engine returns after 5 s.
func (d *deployment) killHolder(leader bool) {
	d.mu.Lock()
	ran := d.ran[promptOf(hugeText(0), hugePrompt)]
	d.mu.Unlock()
	require.Len(d.t, ran, 1, "the prompt runs")
	for i := range d.plan.engines {
		held := d.engines[engineName(i)].model.Load().UsedTokens
		if held > capacity/4 && (engineName(i) == ran[0]) == leader {
			d.killEngine(i)
			time.Sleep(5 * time.Second)
			d.startEngine(i)
			return
		}
	}
	require.Fail(d.t, "no engine holds the prompt")
}

// Guards against a prompt that no cell can hold and that is not refused at once.
func TestPromptBeyondCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deployPlan(t, plan{engines: 4, engineDomains: domains[:1]})
		defer d.close()
		c := d.caller(key)
		defer c.close()
		for node := range nodeCount {
			begin := time.Now()
			r := c.stream(node, promptOf("beyond", 4*capacity+1), 4, hugeLimit)
			require.Equal(t, "context_length_exceeded", r.code)
			require.Equal(t, "no", r.run)
			require.Less(t, time.Since(begin), 100*time.Millisecond)
		}
		require.Zero(t, d.heldTokens())
	})
}
