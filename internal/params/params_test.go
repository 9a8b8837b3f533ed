package params

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/confd/strict"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const minimal = `{
	// The smallest file for a local trial.
	"name": "jetty-1", "failure_domain": "north-jetty", "insecure": true,
	"listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:9001", "admin_listen": "[::1]:9002",
	"platform": ["http://127.0.0.1:7070"],
}`

// Guards against a default that the rule of its setting refuses, and against a
// field that is missing in the table.
func TestDefaults(t *testing.T) {
	s, err := Load("minimal.json", []byte(minimal))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9001", s.PeerAdvertise)
	require.Equal(t, 30*time.Second, s.ReadTimeout)
	require.Equal(t, 32, s.CellEngines)
	for _, e := range Table() {
		require.NotEmpty(t, e.Meaning, e.Key)
		require.Equal(t, e.Required, e.Default == nil, e.Key)
		if e.Default != nil && e.Rule.Check != nil {
			require.True(t, e.Rule.Check(reflect.ValueOf(e.Default)), e.Key)
		}
	}
	require.Len(t, Table(), 26, "a field of Settings is missing in the table")
}

// Guards against a problem that is not reported, is reported without its
// line, or reveals a private key.
func TestProblems(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string
	}{
		"syntax": {"{\n\"name\": }", []string{"s.json:2: syntax error (invalid character) is refused; allowed: JSON, with comments and trailing commas"}},
		"several keys": {
			"{\n\"nane\": \"a\",\n\"listen\": 8080,\n\"name\": \"a b\", \"failure_domain\": \"d\",\n\"read_timeout\": \"1ms\",\n\"max_requests\": 0,\n\"log_format\": \"xml\",\n" +
				"\"platform\": [\"ftp://x\"],\n\"advertise\": \"10.0.0.1\", \"peer_advertise\": \"10.0.0.1:1\",\n\"tls\": {\"ca\": \"file:/ca\", \"certificate\": \"env:CERT\", \"key\": \"hunter2\"}}",
			[]string{
				"s.json:2: nane: an unknown key is refused; allowed: admin_listen, advertise,",
				"s.json:3: listen: 8080 is refused; allowed: an IP address and port",
				`s.json:4: name: "a b" is refused; allowed: 1 to 63 letters`,
				`s.json:5: read_timeout: "1ms" is refused; allowed: a duration from 1s to 10m`,
				"s.json:6: max_requests: 0 is refused; allowed: a number from 1 to 1048576",
				`s.json:7: log_format: "xml" is refused; allowed: text, json`,
				`s.json:8: platform: a list of 1 is refused; allowed: a list of base URLs`,
				"s.json:10: tls.key: (hidden) is refused; allowed: PEM text",
			},
		},
		"missing": {"{}", []string{
			"name: missing;", "failure_domain: missing;", "platform: missing;", "advertise: missing;",
			"peer_advertise: missing;", "tls.ca: missing;", "tls.certificate: missing;", "tls.key: missing;",
		}},
		"insecure": {
			`{"name":"a","failure_domain":"d","platform":["http://x"],"insecure":true,"advertise":"127.0.0.1","peer_advertise":"10.0.0.1","listen":"127.0.0.1:1"}`,
			[]string{"peer_listen: \"0.0.0.0:8081\" is refused", "admin_listen:", "peer_advertise:"},
		},
		"key without certificate": {
			minimal[:len(minimal)-1] + `"caller_tls": {"key": "env:K"}}`,
			[]string{"caller_tls.certificate: missing; allowed: a certificate together with its key"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Load("s.json", []byte(tc.text))
			require.True(t, fault.Is(err, fault.Invalid), "%v", err)
			problems := strict.ProblemsOf(err)
			require.Len(t, problems, len(tc.want), "%v", problems)
			for _, want := range tc.want {
				require.Contains(t, problems.Error(), want)
			}
			require.NotContains(t, err.Error(), "hunter2")
		})
	}
}

// Guards against an environment variable that is ignored, is not checked against
// its rule, or is misspelt without being reported.
func TestEnvironment(t *testing.T) {
	t.Setenv("VERBENAPIER_PLATFORM", "http://127.0.0.1:1,http://127.0.0.1:2")
	t.Setenv("VERBENAPIER_READ_TIMEOUT", "5s")
	t.Setenv("VERBENAPIER_MAX_REQUESTS", "7")
	t.Setenv("VERBENAPIER_TLS_KEY", "env:VERBENAPIER_SECRET")
	t.Setenv("VERBENAPIER_SECRET", "x")
	s, err := Load("s", []byte(minimal))
	require.NoError(t, err)
	require.Equal(t, []string{"http://127.0.0.1:1", "http://127.0.0.1:2"}, s.Platform)
	require.Equal(t, 5*time.Second, s.ReadTimeout)
	require.Equal(t, 7, s.MaxRequests)

	t.Setenv("VERBENAPIER_MAX_REQUESTS", "many")
	t.Setenv("VERBENAPIER_TLS_KEY", "hunter2")
	t.Setenv("VERBENAPIER_LOGLEVEL", "debug")
	_, err = Load("s", []byte(minimal))
	require.ErrorContains(t, err, "environment: VERBENAPIER_MAX_REQUESTS: \"many\" is refused")
	require.ErrorContains(t, err, "environment: VERBENAPIER_TLS_KEY: (hidden) is refused")
	require.ErrorContains(t, err, "environment: VERBENAPIER_LOGLEVEL: an unknown variable is refused")
}

// Guards against settings that are read differently from standard input and
// from a file, and against the wrong error for a missing file.
func TestRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(minimal), 0o600))
	want, err := Read(path)
	require.NoError(t, err)
	in, err := os.Open(path)
	require.NoError(t, err)
	stdin := os.Stdin
	os.Stdin = in
	t.Cleanup(func() { os.Stdin = stdin; _ = in.Close() })
	got, err := Read("-")
	require.NoError(t, err)
	require.Equal(t, want, got)
	_, err = Read(path + ".missing")
	require.True(t, fault.Is(err, fault.NotFound))
}
