package system

import (
	"fmt"
	"io"
	"net"
	"net/http"
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
	// endlessTime is how long they send such answers, and stallPause the time between two
	// bytes of one that stalls.
	endlessTime = 2 * time.Second
	stallPause  = 100 * time.Millisecond
)

// endlessAnswer is an answer without an end: text, and again without a pause or, if stalls
// is set, one byte of it now and then.
type endlessAnswer struct {
	text, again string
	stalls      bool
}

// send sends the answer until the connection is closed.
func (a endlessAnswer) send(c net.Conn) {
	_, err := io.WriteString(c, a.text)
	for i := 0; err == nil; i++ {
		if !a.stalls {
			_, err = io.WriteString(c, a.again)
			continue
		}
		time.Sleep(stallPause)
		_, err = io.WriteString(c, a.again[i%len(a.again):][:1])
	}
}

// faultyPaths begin the paths of the requests to which faulty engines send endless answers,
// each engine to those of one.
var faultyPaths = []string{"/v1/streams", "/v1/load", "/v1/cache"}

// withEndlessAnswers returns a handler that sends endless answers to requests whose paths
// begin as given, as long as there are any, and otherwise the answers of a sound engine.
func (d *loopback) withEndlessAnswers(sound http.Handler, path string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		endless := d.endless.Load()
		if endless == nil || !strings.HasPrefix(r.URL.Path, path) {
			sound.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			endless.send(c)
			_ = c.Close()
		}
	})
}

// endlessAnswers returns, by name, answers without an end.
func endlessAnswers() map[string]endlessAnswer {
	const status = "HTTP/1.1 200 OK\r\n"
	filler := strings.Repeat("x", 64<<10)
	var lines strings.Builder
	for i := 0; lines.Len() < 60<<10; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return map[string]endlessAnswer{
		"head of short lines":       {status + lines.String(), "x", true},
		"line of a head":            {status + "A: " + filler[:60<<10], "x", true},
		"body":                      {status + "\r\n", filler, false},
		"body that stalls":          {status + "\r\n" + strings.Repeat(filler, 100), "x", true},
		"list":                      {status + "\r\n{\"events\":[{}", strings.Repeat(",{}", 16<<10), false},
		"list that ends":            {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", status, 8_000_003+len(`{"events":[]}`), `{"events":[{}`+strings.Repeat(",{}", 2_666_667)+"]}"), "x", true},
		"body of a failure":         {"HTTP/1.1 500 Failed\r\n\r\n", filler, false},
		"failure that stalls":       {"HTTP/1.1 500 Failed\r\n\r\n" + strings.Repeat(filler, 100), "x", true},
		"frames that are no tokens": {status + "\r\n", "{\"keepalive\":true}\n", false},
	}
}

// Guards against engines whose answers have no end and fill the memory of the machine,
// which ends the requests of all callers: the daemon lives on, stays within the memory, and
// answers an ordinary call while they go on, and a prompt once they are sound.
func TestAnswersWithoutEnd(t *testing.T) {
	binary := buildDaemon(t)
	prompt := crowd.Request{
		Head: fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n", shopKey),
		Body: []byte(`{"model":"draft","max_tokens":2,"prompt":"a berth"}`),
	}
	for name, answer := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			d := startLoopback(t, binary, crowdMemory, 0, faultyEngines)
			defer d.close()
			meter := crowd.Watch(t.Context(), d.process)
			d.endless.Store(&answer)
			clients, err := crowd.Play(t.Context(), d.callers, endlessClients, crowd.Behaviour{Complete: true}, prompt)
			require.NoError(t, err)
			require.True(t, group.Sleep(t.Context(), endlessTime))
			d.awaitAnswer()
			clients.Close()
			d.endless.Store(nil)
			d.awaitCompletion()
			peak, err := meter.Peak()
			require.NoError(t, err)
			t.Logf("at most %d MiB", peak.Memory>>20)
			require.LessOrEqual(t, peak.Memory, int64(crowdMemory)<<20)
		})
	}
}
