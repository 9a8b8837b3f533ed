package detour

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Guards against a host that goes on failing requests after it has lost its links to all
// upstreams, that stays cut after they are back, and against peers that count as cut too.
func TestCutHostConnectsThroughPeers(t *testing.T) {
	cuts := map[string]func(f *netem.Fabric, a, b string){
		"hanging": (*netem.Fabric).Cut,
		"refused": (*netem.Fabric).Refuse,
		"reset":   resetAll,
	}
	for name, kind := range cuts {
		t.Run(name, func(t *testing.T) {
			runFleet(t, "a1 a2 b1 b2", "u1 u2 u3 u4", func(t *testing.T, f *fleet) {
				for _, host := range []string{"a1", "a2", "b1"} {
					f.cutOff(host, kind)
				}
				// The first request at each cut host may fail.
				for _, host := range []string{"a1", "a2", "b1"} {
					_, _ = f.ask(host, "u1")
				}
				time.Sleep(2 * time.Second)
				for _, host := range []string{"a1", "a2", "b1"} {
					require.True(t, f.hosts[host].reach.Cut(), host)
					require.False(t, f.hosts[host].reach.Linked(t.Context(), "u4:80"))
					for _, upstream := range f.upstreams {
						answer, err := f.ask(host, upstream)
						require.NoError(t, err, host)
						require.Equal(t, "answer of "+upstream, answer)
					}
				}
				require.False(t, f.hosts["b2"].reach.Cut())

				f.fabric.RemoveCuts()
				time.Sleep(time.Second)
				require.False(t, f.hosts["a1"].reach.Cut())
				require.True(t, f.hosts["a1"].reach.Linked(t.Context(), "u4:80"))
				f.fabric.Cut("a1", "b2")
				_, err := f.ask("a1", "u1")
				require.NoError(t, err)
			})
		})
	}
}

// Guards against an answer that ends with its connection and counts as whole although the
// upstream or the peer was lost, and against one that counts as lost although it is whole.
func TestEndsOfTunnels(t *testing.T) {
	cases := map[string]struct {
		request string
		end     func(f *fleet)
		want    error
	}{
		"upstream ends":    {"end\n", func(*fleet) {}, io.EOF},
		"upstream is lost": {"stay\n", func(f *fleet) { f.fabric.Kill("u1") }, syscall.ECONNRESET},
		"peer is lost":     {"stay\n", func(f *fleet) { f.fabric.Kill("a2") }, syscall.ECONNRESET},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, "a1 a2", "u1 u2", func(t *testing.T, f *fleet) {
				f.cutOffKnown("a1")
				c, err := f.dial("a1", "u1")
				require.NoError(t, err)
				defer func() { _ = c.Close() }()
				_, err = io.WriteString(c, tc.request)
				require.NoError(t, err)
				body := make([]byte, len("answer of u1"))
				_, err = io.ReadFull(c, body)
				require.NoError(t, err)
				require.Equal(t, "answer of u1", string(body))
				tc.end(f)
				for range 2 {
					_, err = c.Read(body)
					require.ErrorIs(t, err, tc.want)
					require.Equal(t, errors.Is(tc.want, io.EOF), errors.Is(err, io.EOF))
				}
			})
		})
	}
}

// Guards against an answer that counts as whole although its upstream reset the connection
// while the request was being written: the kernel then reports the reset to the write, and an
// end to the read.
func TestUpstreamResetsDuringRequest(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	upstream, err := dialer.TCP(t.Context(), l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, accepted.(*net.TCPConn).SetLinger(0))
	near, far := net.Pipe()
	server := NewServer(ServerOptions{Metrics: tally.NoopScope, Log: logrus.New()})
	g := group.New(t.Context())
	g.Go("tunnel", func(context.Context) error {
		(&tunnel{server: server, caller: far, upstream: upstream}).run()
		return far.Close()
	})
	request := make([]byte, maxFrame)
	_, err = near.Write(request)
	require.NoError(t, err)
	require.NoError(t, accepted.Close())
	g.Go("request", func(context.Context) error {
		for err := error(nil); err == nil; {
			_, err = near.Write(request)
		}
		return nil
	})
	c := &conn{Conn: near, reader: bufio.NewReader(near), onLost: func() {}}
	_, err = io.ReadAll(c)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.NoError(t, near.Close())
	require.NoError(t, g.Wait())
}

// Guards against an upstream that works on for a caller that has left.
func TestCallerClosesTunnel(t *testing.T) {
	runFleet(t, "a1 a2", "u1 u2", func(t *testing.T, f *fleet) {
		f.cutOffKnown("a1")
		before := f.count(f.ended, "u1", 0)
		c, err := f.dial("a1", "u1")
		require.NoError(t, err)
		_, err = io.WriteString(c, "stay\n")
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.Equal(t, 1, f.hosts["a2"].server.InUse())
		require.NoError(t, c.Close())
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, before+1, f.count(f.ended, "u1", 0))
		require.Zero(t, f.hosts["a2"].server.InUse())
	})
}

// Guards against an open proxy, against tunnels without bound or through a host that leaves
// or is cut itself, and against a request that keeps a connection without end.
func TestRefusedTunnels(t *testing.T) {
	cases := map[string]struct {
		prepare func(f *fleet)
		address string
		status  int
	}{
		"no upstream": {func(*fleet) {}, "a2:1", 403},
		"no address":  {func(*fleet) {}, "u1", 400},
		"leaving":     {func(f *fleet) { f.hosts["a2"].leaving.Store(true) }, "u1:80", 503},
		"cut": {func(f *fleet) {
			f.cutOffKnown("a2")
			f.cutOff("a2", resetAll)
		}, "u1:80", 503},
		"upstream is gone": {func(f *fleet) {
			_, err := f.ask("a2", "u2")
			require.NoError(f.t, err)
			f.fabric.Kill("u1")
		}, "u1:80", 502},
		"too many": {func(f *fleet) {
			for range maxTunnels {
				_, err := open(f.t.Context(), f.fabric.Host("a1").Dial, "a2:1", "u2:80")
				require.NoError(f.t, err)
			}
		}, "u1:80", 503},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, "a1 a2 b1", "u1 u2", func(t *testing.T, f *fleet) {
				tc.prepare(f)
				before := f.count(f.requests, "u1", 0)
				_, err := open(t.Context(), f.fabric.Host("a1").Dial, "a2:1", tc.address)
				var refusal *refusalError
				require.ErrorAs(t, err, &refusal)
				require.Equal(t, tc.status, refusal.status)
				require.Equal(t, before, f.count(f.requests, "u1", 0))
			})
		})
	}
	t.Run("no request", func(t *testing.T) {
		runFleet(t, "a2", "u1", func(t *testing.T, f *fleet) {
			c, err := f.fabric.Host("a1").Dial(t.Context(), "a2:1")
			require.NoError(t, err)
			_, err = io.WriteString(c, "CONNECT u1:80")
			require.NoError(t, err)
			startedAt := time.Now()
			_, err = c.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			require.Less(t, time.Since(startedAt), 2*requestTimeout)
		})
	})
}

// Guards against a cut host that tries peers which do not help again and again, and against
// one that gives up when the peer it uses is lost.
func TestPeersThatFail(t *testing.T) {
	runFleet(t, "a1 a2 a3 a4 b1 b2", "u1 u2", func(t *testing.T, f *fleet) {
		f.cutOffKnown("a1")
		used := f.hosts["a1"].lastPeer()
		for range 10 {
			_, err := f.ask("a1", "u1")
			require.NoError(t, err)
			require.Equal(t, used, f.hosts["a1"].lastPeer())
		}
		// The peers of the own domain do not reach the upstreams, but do not know that.
		for _, host := range []string{"a2", "a3", "a4"} {
			f.cutOff(host, resetAll)
		}
		f.fabric.Freeze(used)
		defer f.fabric.Thaw(used)
		failed := 0
		for range 20 {
			if _, err := f.ask("a1", "u2"); err != nil {
				failed++
			}
		}
		// Each peer that does not know loses one connection at most.
		require.LessOrEqual(t, failed, 3)
		require.Equal(t, "b", f.hosts["a1"].lastPeer()[:1])
	})
}

// Guards against peers that are asked again at once after a failure, against a host that
// tries only those of its own domain, and against one that has no peer left to ask.
func TestChoiceOfPeers(t *testing.T) {
	runFleet(t, "a1 a2 a3 a4 b1", "u1", func(t *testing.T, f *fleet) {
		p := f.hosts["a1"].dialer.peers
		names := func() (names []string) {
			for _, m := range p.choose() {
				names = append(names, m.Name)
			}
			return names
		}
		chosen := names()
		require.Len(t, chosen, 4)
		require.Equal(t, "b1", chosen[1])
		p.succeeded("b1")
		require.Equal(t, "b1", names()[0])
		for _, name := range []string{"b1", "a3", "a4"} {
			p.failed(name)
			time.Sleep(time.Millisecond)
		}
		require.Equal(t, []string{"a2"}, names())
		p.failed("a2")
		require.Equal(t, []string{"b1"}, names())
		time.Sleep(peerPause)
		require.Len(t, names(), 4)
	})
}

// Guards against hosts that take the end of an upstream, or the loss of their peers, for the
// loss of their own links.
func TestUpstreamThatNobodyReaches(t *testing.T) {
	cases := map[string]func(f *fleet){
		"upstream ended":    func(f *fleet) { f.fabric.Kill("u1") },
		"all hosts are cut": func(f *fleet) { f.cutOff("a1", (*netem.Fabric).Cut); f.cutOff("b1", (*netem.Fabric).Cut) },
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, "a1 b1", "u1 u2", func(t *testing.T, f *fleet) {
				prepare(f)
				for range 3 {
					startedAt := time.Now()
					_, err := f.ask("a1", "u1")
					require.Error(t, err)
					require.LessOrEqual(t, time.Since(startedAt), 400*time.Millisecond)
					time.Sleep(checkInterval)
				}
				for _, h := range f.hosts {
					require.False(t, h.reach.Cut())
					require.True(t, h.reach.Linked(t.Context(), "u1:80"))
				}
			})
		})
	}
}

// Guards against an answer without a length that counts as whole although its upstream
// ended, because the peers that are asked as well do not answer in time.
func TestEndOfUpstreamWhilePeersHang(t *testing.T) {
	runFleet(t, "a1 b1", "u1 u2", func(t *testing.T, f *fleet) {
		resp := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, ProtoMajor: 1, ProtoMinor: 1}
		verify := func() error {
			return answer.VerifyEnd(t.Context(), f.hosts["a1"].dialer.Dial, "u1:80", resp, false)
		}
		require.NoError(t, verify())
		f.fabric.Cut("a1", "b1")
		f.fabric.Cut("a1", "u1")
		require.NoError(t, verify())
		f.fabric.RemoveCuts()
		f.fabric.Kill("u1")
		f.fabric.Cut("a1", "b1")
		require.True(t, fault.Is(verify(), fault.UpstreamLost))
	})
}

// Guards against failures that count against sound upstreams because peers have not yet said
// that they reach them, and against an upstream that resets the connections of all hosts and
// never counts as failed.
func TestFailuresBeforeTheCutIsKnown(t *testing.T) {
	cases := map[string]struct {
		cut    []string
		linked bool
	}{
		"links of one host":   {[]string{"a1"}, false},
		"upstream of all":     {[]string{"a1", "a2", "b1"}, true},
		"nothing is the case": {nil, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, "a1 a2 b1", "u1 u2 u3", func(t *testing.T, f *fleet) {
				for _, host := range tc.cut {
					resetAll(f.fabric, host, "u1")
				}
				for range 3 {
					startedAt := time.Now()
					_, err := f.ask("a1", "u1")
					require.Equal(t, tc.cut == nil, err == nil)
					require.Equal(t, tc.linked, f.hosts["a1"].reach.Linked(t.Context(), "u1:80"))
					require.Less(t, time.Since(startedAt), verdictTimeout)
					time.Sleep(2 * checkInterval)
				}
			})
		})
	}
}

// Guards against a connection from before the cut whose answer ends the detour of all new
// ones.
func TestOldConnectionIsNoProof(t *testing.T) {
	runFleet(t, "a1 b1", "u1 u2", func(t *testing.T, f *fleet) {
		c, err := f.dial("a1", "u1")
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		f.cutOffKnown("a1")
		_, err = io.WriteString(c, "stay\n")
		require.NoError(t, err)
		_, err = c.Read(make([]byte, 1))
		require.NoError(t, err)
		require.True(t, f.hosts["a1"].reach.Cut())
	})
}

// Guards against a dial that waits for peers or leaves connections behind when its caller
// gives up.
func TestCallerGivesUpDial(t *testing.T) {
	runFleet(t, "a1 b1", "u1 u2", func(t *testing.T, f *fleet) {
		f.cutOff("a1", (*netem.Fabric).Cut)
		f.fabric.Cut("a1", "b1")
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(150*time.Millisecond, cancel)
		startedAt := time.Now()
		_, err := f.hosts["a1"].dialer.Dial(ctx, "u1:80")
		require.ErrorIs(t, err, context.Canceled)
		require.Equal(t, 150*time.Millisecond, time.Since(startedAt))
		time.Sleep(time.Second)
		synctest.Wait()
		require.Zero(t, f.count(f.ended, "u1", 0))
	})
}

// Guards against a host that misses what an upstream asks of it in an answer that it
// forwards, and against an answer without an end of its head that is kept.
func TestObservedHead(t *testing.T) {
	const head = "HTTP/1.1 503 x\r\nRetry-After: 3\r\n\r\n"
	cases := map[string]struct {
		pieces []string
		want   []string
	}{
		"whole":      {[]string{head + "body"}, []string{head + "body"}},
		"in pieces":  {[]string{head[:20], head[20:]}, []string{head}},
		"only once":  {[]string{head, head}, []string{head}},
		"not ended":  {[]string{head[:20]}, nil},
		"no end":     {slices.Repeat([]string{strings.Repeat("x", 1<<10)}, 100), nil},
		"late ended": {append(slices.Repeat([]string{strings.Repeat("x", 1<<10)}, 17), head), nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			log := logrus.New()
			log.SetOutput(io.Discard)
			tunnel := &tunnel{address: "u1:80", head: []byte{}, server: &Server{options: ServerOptions{
				Observe: func(_ string, head []byte) { got = append(got, string(head)) }, Log: log,
			}}}
			for _, piece := range tc.pieces {
				tunnel.observe([]byte(piece))
				require.LessOrEqual(t, len(tunnel.head), maxHead)
			}
			require.Equal(t, tc.want, got)
		})
	}
}
