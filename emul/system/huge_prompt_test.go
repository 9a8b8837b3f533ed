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
	// hugePromptTokens is the length of a prompt that needs the memory of three
	// engines.
	hugePromptTokens = 2*capacity + capacity/2
	hugeTimeout      = 2 * time.Minute
	hugeAnswerTokens = 16
)

// hugeCase describes a test that sends huge prompts to one cell of four engines while
// a caller keeps sending short requests.
type hugeCase struct {
	// prompts is the number of huge prompts sent at once, each to a different node.
	prompts int
	faults  func(d *deployment)
	// mayFail allows an answer with an error code. mayDisconnect allows a connection
	// that closes without a complete answer.
	mayFail, mayDisconnect bool
}

// Guards against prompts that need the memory of several engines and get no answer,
// for example because an engine dies or because two of them wait for each other's
// memory. Also guards against short requests that fail meanwhile, and against memory
// that is not released.
func TestHugePrompt(t *testing.T) {
	for name, c := range map[string]hugeCase{
		"alone":           {prompts: 1},
		"two at once":     {prompts: 2},
		"member dies":     {prompts: 1, mayFail: true, faults: func(d *deployment) { d.killHoldingEngine(false) }},
		"leader dies":     {prompts: 1, mayFail: true, faults: func(d *deployment) { d.killHoldingEngine(true) }},
		"entry node dies": {prompts: 1, mayDisconnect: true, faults: func(d *deployment) { d.killNode(0) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHuge(t, c) })
		})
	}
}

func runHuge(t *testing.T, c hugeCase) {
	d := deployWith(t, options{engines: 4, engineDomains: domains[:1]})
	defer d.close()
	replies := make([]reply, c.prompts)
	elapsed := make([]time.Duration, c.prompts)
	hugeGroup := group.New(t.Context())
	for i := range replies {
		hugeGroup.Go("huge", func(context.Context) error {
			caller := d.newCaller(shopKey)
			defer caller.close()
			begin := time.Now()
			replies[i] = caller.stream(i, makePrompt(hugePrefix(i), hugePromptTokens), hugeAnswerTokens, hugeTimeout)
			elapsed[i] = time.Since(begin)
			return nil
		})
	}
	shortGroup := group.New(t.Context())
	answered, slowest := 0, time.Duration(0)
	var failed []string
	shortGroup.Go("short", func(ctx context.Context) error {
		caller := d.newCaller(shopKey)
		defer caller.close()
		for i := 0; ctx.Err() == nil; i++ {
			// Node 0 is left out, since a fault may kill it.
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
	require.NoError(t, hugeGroup.Wait())
	shortGroup.Stop()
	require.NoError(t, shortGroup.Wait())
	for i, r := range replies {
		t.Logf("prompt %d: %d %q after %v, %d text events, engines %v, error %v", i, r.status, r.code, elapsed[i], r.textEvents, d.startedOn[makePrompt(hugePrefix(i), hugePromptTokens)], r.err)
		require.Less(t, elapsed[i], hugeTimeout+5*time.Second)
		require.True(t, r.ok() || (c.mayFail && r.code != "") || (c.mayDisconnect && r.err != nil))
		if r.ok() {
			require.True(t, r.done)
			require.Equal(t, hugeAnswerTokens, r.textEvents)
		}
	}
	t.Logf("short requests: %d answered, slowest first token %v, failed %v", answered, slowest, failed)
	require.Positive(t, answered)
	require.Empty(t, failed)
	time.Sleep(settleTime)
	require.Zero(t, d.usedTokens(), "engine memory that was not released")
}

func hugePrefix(i int) string { return fmt.Sprintf("huge-%d", i) }

// killHoldingEngine kills an engine that holds a part of the first huge prompt: the
// leader, which runs the prompt, or one of the members, which only hold a part. The
// engine is started again after 5 s.
func (d *deployment) killHoldingEngine(leader bool) {
	d.mu.Lock()
	startedOn := d.startedOn[makePrompt(hugePrefix(0), hugePromptTokens)]
	d.mu.Unlock()
	require.Len(d.t, startedOn, 1, "engines that started the prompt")
	for i := range d.options.engines {
		used := d.engines[engineName(i)].model.Load().UsedTokens
		// The short requests use far less than a quarter of an engine's memory.
		if used > capacity/4 && (engineName(i) == startedOn[0]) == leader {
			d.killEngine(i)
			time.Sleep(5 * time.Second)
			d.startEngine(i)
			return
		}
	}
	require.Fail(d.t, "no engine holds the prompt")
}

// Guards against a prompt that is not refused at once although it exceeds the memory
// of every cell.
func TestPromptBeyondCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deployWith(t, options{engines: 4, engineDomains: domains[:1]})
		defer d.close()
		c := d.newCaller(shopKey)
		defer c.close()
		for node := range nodeCount {
			begin := time.Now()
			r := c.stream(node, makePrompt("beyond", 4*capacity+1), 4, hugeTimeout)
			require.Equal(t, "context_length_exceeded", r.code)
			require.Equal(t, "no", r.run)
			require.Less(t, time.Since(begin), 100*time.Millisecond)
		}
		require.Zero(t, d.usedTokens())
	})
}
