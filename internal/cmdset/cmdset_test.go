package cmdset

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/admin"
	"github.com/verbenapier/verbenapier/internal/alarm"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// fake is an in-memory daemon that holds the revisions of the configuration.
type fake struct {
	admin.State
	docs []*confd.Document
}

func (f *fake) Nodes() []admin.Node     { return []admin.Node{{Name: "n1", State: "alive"}} }
func (f *fake) Cells() []admin.Cell     { return nil }
func (f *fake) Engines() []admin.Engine { return []admin.Engine{{Name: "e1", Models: []string{"m"}}} }

func (f *fake) Health() admin.Health  { return admin.Health{Node: "n1", Reasons: []string{"leaving"}} }
func (f *fake) Dump() map[string]any  { return map[string]any{"a": 1} }
func (f *fake) Active() []alarm.Alarm { return nil }

func (f *fake) Organisations() []admin.Organisation { return []admin.Organisation{{Name: "o1"}} }
func (f *fake) Requests() []admin.Request           { return []admin.Request{{ID: "r1"}} }
func (f *fake) Drain(context.Context) error         { return nil }

func (f *fake) Quarantined(context.Context) ([]admin.QuarantinedPrompt, error) { return nil, nil }
func (f *fake) Lift(_ context.Context, fingerprint string) error {
	return fault.New(fault.NotFound, "no quarantine has the fingerprint %q", fingerprint)
}
func (f *fake) Current() (*confd.Document, uint64, error) { return f.Newest(context.Background()) }
func (f *fake) Newest(context.Context) (*confd.Document, uint64, error) {
	if len(f.docs) == 0 {
		return nil, 0, fault.New(fault.NoConfig, "no configuration yet")
	}
	return f.docs[len(f.docs)-1], uint64(len(f.docs)), nil
}

func (f *fake) Apply(_ context.Context, doc *confd.Document, base uint64, _ string) (uint64, error) {
	if base != uint64(len(f.docs)) {
		return 0, fault.New(fault.Conflict, "the newest revision is %d, not %d", len(f.docs), base)
	}
	f.docs = append(f.docs, doc)
	return base + 1, nil
}

func (f *fake) History(context.Context) ([]admin.Revision, error) {
	return []admin.Revision{{Revision: 1, Operator: "anna"}}, nil
}

func (f *fake) At(_ context.Context, revision uint64) (*confd.Document, error) {
	return f.docs[revision-1], nil
}

type result struct {
	code           int
	stdout, stderr string
}

func run(stdin string, args ...string) result {
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), args, strings.NewReader(stdin), &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}
}

// startServer creates certificates with the cert commands, starts a server with
// them and returns the flags with which a command connects to the server.
func startServer(t *testing.T) []string {
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	authority := []string{"--authority", file("ca.pem"), "--authority-key", file("ca-key.pem"), "--out", dir, "--validity", "1h"}
	require.Zero(t, run("", "cert", "authority", "--name", "ca", "--out", dir).code)
	require.Zero(t, run("", append([]string{"cert", "node", "--name", "n1", "--ip", "127.0.0.1"}, authority...)...).code)
	require.Zero(t, run("", append([]string{"cert", "operator", "--name", "anna"}, authority...)...).code)
	repeated := run("", append([]string{"cert", "operator", "--name", "anna"}, authority...)...)
	require.Equal(t, ExitConflict, repeated.code, "an existing key must be kept")
	info, err := os.Stat(file("anna-key.pem"))
	require.NoError(t, err)
	require.Equal(t, os.FileMode(privateFileMode), info.Mode())

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fake{}
	log, _ := test.NewNullLogger()
	material := params.TLS{CA: "file:" + file("ca.pem"), Certificate: "file:" + file("n1.pem"), Key: "file:" + file("n1-key.pem")}
	server := admin.New(admin.Options{
		State: f, Drainer: f, Quarantine: f, Config: f, Alarms: f, Log: log,
		Load: material.Load,
	})
	g := group.New(t.Context())
	g.Go("admin", func(ctx context.Context) error { return server.Serve(ctx, listener) })
	t.Cleanup(func() { g.Stop(); require.NoError(t, g.Wait()) })
	return []string{"--address", listener.Addr().String(), "--ca", file("ca.pem"), "--certificate", file("anna.pem"), "--key", file("anna-key.pem")}
}

const document = `{
  "services": {"p": {"kind": "plain", "routes": [{"method": "GET", "path": "/", "idempotent": true}]}},
  "organisations": {"a": {"weight": 1}}
}`

// Guards against a command that fails, prints the wrong text or returns the wrong
// exit code. The commands call a real server over mutual TLS.
func TestCommands(t *testing.T) {
	flags := startServer(t)
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	first := file("first.json", document)
	second := file("second.json", strings.Replace(document, `"weight": 1`, `"weight": 2`, 1))
	bad := file("bad.json", strings.Replace(document, `"weight": 1`, `"weight": -1`, 1))
	steps := []struct {
		command, stdin string
		code           int
		stdout, stderr string
	}{
		{"config get", "", ExitFailed, "", "no configuration yet"},
		{"config check " + first, "", ExitOK, "valid: 1 services, 0 models, 1 organisations", ""},
		{"config check " + bad, "", ExitRefused, "", "bad.json:3: organisations.a.weight: -1 is refused; allowed: a number above 0"},
		{"config check " + dir, "", ExitUsage, "", "is a directory"},
		{"config diff " + first, "", ExitOK, "+ services.p:", ""},
		{"config apply " + first, "", ExitUsage, "", "--base"},
		{"config apply --base 0 " + bad, "", ExitRefused, "", "bad.json:3:"},
		{"config apply --base 0 -", document, ExitOK, "revision 1\n+ organisations.a", ""},
		{"config apply --base 1 " + second, "", ExitOK, "revision 2\n~ organisations.a.weight: 1 -> 2", ""},
		{"config apply --base 1 " + first, "", ExitConflict, "", "revision 2 is the newest; changed since the base:\n  ~ organisations.a.weight: 1 -> 2"},
		{"config diff " + first, "", ExitOK, "~ organisations.a.weight: 2 -> 1", ""},
		{"config diff " + first + " " + second, "", ExitOK, "~ organisations.a.weight: 1 -> 2", ""},
		{"config rollback --base 2 1", "", ExitOK, "revision 3\n~ organisations.a.weight: 2 -> 1", ""},
		{"config get", "", ExitOK, `"weight": 1`, "revision 3"},
		{"config get 2", "", ExitOK, `"weight": 2`, "revision 2"},
		{"config get two", "", ExitUsage, "", "REVISION must be a whole number"},
		{"config history", "", ExitOK, "anna", ""},
		{"node list", "", ExitOK, "NAME  STATE  DOMAIN  REGION  ADDRESS  REVISION\nn1    alive", ""},
		{"node health", "", ExitFailed, "n1 not ready: leaving", ""},
		{"node drain", "", ExitOK, "n1 leaves", ""},
		{"node dump", "", ExitOK, `"a": 1`, ""},
		{"cell list", "", ExitOK, "OWNER", ""},
		{"engine list", "", ExitOK, "e1", ""},
		{"organisation list", "", ExitOK, "o1", ""},
		{"request list", "", ExitOK, "r1", ""},
		{"alarm list", "", ExitOK, "PROMISE", ""},
		{"quarantine list", "", ExitOK, "FINGERPRINT", ""},
		{"quarantine lift f1", "", ExitNotFound, "", "no quarantine has the fingerprint \"f1\""},
		{"node list extra", "", ExitUsage, "", "verbenapierctl node list [options]"},
		{"node lsit", "", ExitUsage, "", `"node lsit" is no command; known are: alarm list`},
		{"", "", ExitUsage, "", "a command is missing"},
		{"node list --colour", "", ExitUsage, "", "unknown flag"},
		{"node list --address 127.0.0.1:1", "", ExitUnreachable, "", "127.0.0.1:1 does not answer"},
		{"node list --ca " + first, "", ExitRefused, "", "tls.ca holds no certificate"},
		{"node list --insecure --address 10.0.0.1:1", "", ExitUsage, "", "loopback"},
		{"node list --help", "", ExitOK, "--address", ""},
		{"key hash", "secret\n", ExitOK, confd.KeyHash("secret") + "\n", ""},
		{"key hash", "\n", ExitUsage, "", "one key"},
		{"help", "", ExitOK, "quarantine", ""},
		{"help quarantine", "", ExitOK, "# Quarantine", ""},
		{"help nothing", "", ExitUsage, "", "no topic"},
	}
	for _, s := range steps {
		got := run(s.stdin, append(flags[:len(flags):len(flags)], strings.Fields(s.command)...)...)
		require.Equal(t, s.code, got.code, "%s: %s%s", s.command, got.stdout, got.stderr)
		require.Contains(t, got.stdout, s.stdout, s.command)
		require.Contains(t, got.stderr, s.stderr, s.command)
		require.NotContains(t, got.stderr, "goroutine")

		if s.code == ExitOK && (strings.HasPrefix(s.command, "config") || strings.Contains(s.command, "--help")) {
			continue
		}
		withJSON := run(s.stdin, append(append(flags[:len(flags):len(flags)], "--json"), strings.Fields(s.command)...)...)
		require.Equal(t, s.code, withJSON.code, s.command)
		if s.code == ExitOK {
			require.True(t, json.Valid([]byte(withJSON.stdout)), "%s: %s", s.command, withJSON.stdout)
		} else {
			require.True(t, json.Valid([]byte(withJSON.stderr)), "%s: %s", s.command, withJSON.stderr)
		}
	}
	for _, command := range []string{"config check " + first, "config diff " + first, "config get", "config history", "config apply --base 3 " + second} {
		got := run("", append(append(flags[:len(flags):len(flags)], "--json"), strings.Fields(command)...)...)
		require.Zero(t, got.code, command)
		require.True(t, json.Valid([]byte(got.stdout)), "%s: %s", command, got.stdout)
	}
}

// Guards against a certificate that outlives its authority or is signed with a
// node's certificate. Also guards against a command that hangs when a node accepts
// a connection but never answers.
func TestRefusals(t *testing.T) {
	flags := startServer(t)
	dir := filepath.Dir(flags[3])
	got := run("", "cert", "operator", "--name", "x", "--validity", "90000h", "--out", dir,
		"--authority", filepath.Join(dir, "ca.pem"), "--authority-key", filepath.Join(dir, "ca-key.pem"))
	require.Equal(t, ExitRefused, got.code)
	require.Contains(t, got.stderr, "outlive")
	got = run("", "cert", "operator", "--name", "x", "--out", dir, "--authority", filepath.Join(dir, "n1.pem"), "--authority-key", filepath.Join(dir, "n1-key.pem"))
	require.Equal(t, ExitRefused, got.code, got.stderr)

	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	got = run("", append(append(flags, "--timeout", "50ms", "--address", silent.Addr().String()), "node", "list")...)
	require.Equal(t, ExitUnreachable, got.code, got.stderr)
}
