package cmdset

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against logs that are missing, are no logs, or cannot be read, and for which
// the command prints an empty report.
func TestReport(t *testing.T) {
	const line = `{"event":"request","time":"2026-08-01T10:00:02Z","node":"a","request":"r","route":"chat","status":200,"ms":20}`
	file := filepath.Join(t.TempDir(), "a.log")
	require.NoError(t, os.WriteFile(file, []byte(line+"\n"), 0o600))
	oversized := filepath.Join(t.TempDir(), "b.log")
	require.NoError(t, os.WriteFile(oversized, []byte(strings.Repeat("x", 2<<20)), 0o600))
	cases := map[string]struct {
		args  []string
		stdin string
		code  int
		want  string
	}{
		"file":          {[]string{"report", file}, "", ExitOK, "chat"},
		"input":         {[]string{"report"}, line, ExitOK, "chat"},
		"JSON":          {[]string{"report", "--json", file}, "", ExitOK, `"in_time": 1`},
		"missing":       {[]string{"report", file + "x"}, "", ExitNotFound, "open a log"},
		"no log":        {[]string{"report"}, "hello", ExitNotFound, "none of 1 lines"},
		"line too long": {[]string{"report", oversized}, "", ExitRefused, "cannot be read"},
		"window":        {[]string{"report", "--window", "0s", file}, "", ExitRefused, "window"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errOut strings.Builder
			require.Equal(t, tc.code, Run(t.Context(), tc.args, strings.NewReader(tc.stdin), &out, &errOut))
			require.Contains(t, out.String()+errOut.String(), tc.want)
		})
	}
}
