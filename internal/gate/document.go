package gate

import (
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/feed"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// document is a configuration document as the platform holds it.
type document struct {
	Key   string `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
}

// applyDocument puts a newer configuration in force and reports whether it did. A platform
// that came back from a copy may hold an older one until the operators write the lost one
// again. The caller holds mu.
func (s *state) applyDocument(key string, entry feed.Entry) bool {
	if entry.Version.Compare(s.documentVersion) <= 0 {
		return false
	}
	c, ok, err := s.adapter.DecodeDocument(key, entry.Value)
	if !ok {
		return false
	}
	s.documentVersion = entry.Version
	log := s.log.WithFields(logrus.Fields{"revision": entry.Version.Revision, "era": entry.Version.Era})
	if err != nil {
		log.WithError(err).WithField("event", "config_refused").Error("a configuration cannot be read; the previous one stays in force")
		return false
	}
	return s.enforce(c, document{key, entry.Value}, log)
}

// enforce puts a configuration in force unless a newer one is, and reports whether it
// did. The caller holds mu.
func (s *state) enforce(c *route.Config, d document, log logrus.FieldLogger) bool {
	log = log.WithField("config", c.Version)
	if s.table != nil && c.Version <= s.table.Version() {
		if c.Version < s.table.Version() {
			log.WithFields(logrus.Fields{"event": "config_older", "in_force": s.table.Version()}).
				Warn("this configuration is older than the one in force, which stays in force")
		}
		return false
	}
	s.table, s.document = route.NewTable(c), d
	log.WithFields(logrus.Fields{
		"event": "config_in_force", "routes": len(c.Routes), "services": len(c.Services), "keys": len(c.Keys),
	}).Info("a configuration is in force")
	return true
}

// newerDocument returns the document in force if its version is higher than the given one.
func (s *state) newerDocument(version uint64) document {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil || s.table.Version() <= version {
		return document{}
	}
	return s.document
}

// adoptDocument puts the configuration document of a peer in force if it is newer.
func (s *state) adoptDocument(d document, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok, err := s.adapter.DecodeDocument(d.Key, d.Value)
	if err == nil && !ok {
		err = fault.New(fault.Invalid, "key %q is not that of a configuration", d.Key)
	}
	log := s.log.WithField("source", source)
	if err != nil {
		log.WithError(err).WithField("event", "config_refused").Error("the configuration of another host cannot be read")
		return
	}
	if s.enforce(c, d, log) {
		s.regroup()
	}
}
