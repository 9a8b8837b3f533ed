package launch

import (
	"runtime/debug"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// Guards against a log that does not tell the code that a process ran.
func TestBuildFields(t *testing.T) {
	cases := map[string]struct {
		settings []debug.BuildSetting
		want     logrus.Fields
	}{
		"checkout": {
			[]debug.BuildSetting{{Key: "GOARCH", Value: "arm64"}, {Key: "vcs.revision", Value: "ae82822"}, {Key: "vcs.modified", Value: "true"}},
			logrus.Fields{"event": "build", "go": "go1.26", "revision": "ae82822", "modified": true},
		},
		"no version control": {nil, logrus.Fields{"event": "build", "go": "go1.26", "revision": "unknown"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, buildFields(&debug.BuildInfo{GoVersion: "go1.26", Settings: tc.settings}))
		})
	}
}
