package launch

import (
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// LogBuild logs the revision that the daemon was built from, so that a log tells which
// code wrote it.
func LogBuild(log logrus.FieldLogger) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		log.WithField("event", "build").Warn("the build of this daemon is not known")
		return
	}
	log.WithFields(buildFields(info)).Info("this daemon was built from the named revision")
}

// buildFields returns the fields of the log line. A build without version control has no
// revision.
func buildFields(info *debug.BuildInfo) logrus.Fields {
	fields := logrus.Fields{"event": "build", "go": info.GoVersion, "revision": "unknown"}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			fields["revision"] = s.Value
		case "vcs.modified":
			fields["modified"] = s.Value == "true"
		}
	}
	return fields
}
