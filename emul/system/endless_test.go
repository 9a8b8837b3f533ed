package system

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/crowd"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// endlessClients is close to the number of connections that the memory admits.
	endlessClients = 320
	// faultyEngines is the number of engines whose answers have no end.
	faultyEngines = 40
	// endlessTime is how long they send such answers.
	endlessTime = 2 * time.Second
)

// faultyPaths begin the paths of the requests to which faulty engines send endless answers,
// each engine to those of one.
var faultyPaths = []string{"/v1/streams", "/v1/load", "/v1/cache"}

// endlessAnswers returns, by name, answers without an end.
func endlessAnswers() map[string]crowd.Endless {
	const status = "HTTP/1.1 200 OK\r\n"
	filler := strings.Repeat("x", 64<<10)
	return map[string]crowd.Endless{
		"head of short lines":       {Text: status + crowd.ShortLines(60<<10), Again: "x", Stalls: true},
		"line of a head":            {Text: status + "A: " + filler[:60<<10], Again: "x", Stalls: true},
		"body":                      {Text: status + "\r\n", Again: filler},
		"body that stalls":          {Text: status + "\r\n" + strings.Repeat(filler, 100), Again: "x", Stalls: true},
		"list":                      {Text: status + "\r\n{\"events\":[{}", Again: strings.Repeat(",{}", 16<<10)},
		"list that ends":            emptyObjects("events"),
		"body of a failure":         {Text: "HTTP/1.1 500 Failed\r\n\r\n", Again: filler},
		"failure that stalls":       {Text: "HTTP/1.1 500 Failed\r\n\r\n" + strings.Repeat(filler, 100), Again: "x", Stalls: true},
		"frames that are no tokens": {Text: status + "\r\n", Again: "{\"keepalive\":true}\n"},
	}
}

// emptyObjects returns a whole answer with a list of 8 MB, which takes many times its size
// when it is decoded.
func emptyObjects(key string) crowd.Endless {
	list := fmt.Sprintf(`{%q:[{}%s]}`, key, strings.Repeat(",{}", 2_666_666))
	return crowd.Endless{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list), Again: "x", Stalls: true}
}

// endlessReplies returns, by name, answers without an end of the platform.
func endlessReplies() map[string]crowd.Endless {
	answers := endlessAnswers()
	return map[string]crowd.Endless{
		"head of short lines": answers["head of short lines"],
		"body":                answers["body"],
		"entries that end":    emptyObjects("entries"),
		"hosts that end":      emptyObjects("hosts"),
	}
}

// Guards against engines, a plain service or a platform whose answers have no end and fill the memory of the machine,
// which ends the requests of all callers: the daemon lives on, stays within the memory, and
// answers an ordinary call while they go on, and a prompt once they are sound.
func TestAnswersWithoutEnd(t *testing.T) {
	binary := buildDaemon(t)
	prompt := crowd.Request{
		Head: fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n", shopKey),
		Body: []byte(`{"model":"draft","max_tokens":2,"prompt":"a berth"}`),
	}
	requests := orderRequests(endlessClients / 3)
	for len(requests) < endlessClients {
		requests = append(requests, prompt)
	}
	type endlessCase struct {
		answer   crowd.Endless
		server   func(d *loopback) *crowd.Switch
		requests []crowd.Request
	}
	cases := map[string]endlessCase{}
	for name, answer := range endlessAnswers() {
		cases[name] = endlessCase{answer, func(d *loopback) *crowd.Switch { return &d.endless }, requests}
	}
	for name, answer := range endlessReplies() {
		cases["platform, "+name] = endlessCase{answer, func(d *loopback) *crowd.Switch { return &d.platformEndless }, []crowd.Request{prompt}}
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := startLoopback(t, binary, crowdMemory, 0, faultyEngines)
			defer d.close()
			meter := crowd.Watch(t.Context(), d.process)
			tc.server(d).Set(&tc.answer)
			clients, err := crowd.Play(t.Context(), d.callers, endlessClients, crowd.Behaviour{Complete: true}, tc.requests...)
			require.NoError(t, err)
			require.True(t, group.Sleep(t.Context(), endlessTime))
			d.awaitAnswer()
			clients.Close()
			tc.server(d).Set(nil)
			d.awaitCompletion()
			peak, err := meter.Peak()
			require.NoError(t, err)
			t.Logf("at most %d MiB", peak.Memory>>20)
			require.LessOrEqual(t, peak.Memory, int64(crowdMemory)<<20)
		})
	}
}
