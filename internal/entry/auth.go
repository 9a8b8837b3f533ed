package entry

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// caller is an authenticated caller with the configuration that applies to its
// request. A change of the configuration does not affect a request in flight.
type caller struct {
	organisation       string
	organisationConfig confd.Organisation
	document           *confd.Document
	revision           uint64
}

// mayUse reports whether the caller's organisation may use a service. An
// organisation whose configuration lists no services may use all.
func (c caller) mayUse(service string) bool {
	if len(c.organisationConfig.Services) == 0 {
		return true
	}
	for _, name := range c.organisationConfig.Services {
		if name == service {
			return true
		}
	}
	return false
}

// keyIndex maps key hashes to organisations. It is rebuilt when the revision
// of the configuration changes.
type keyIndex struct {
	current atomic.Pointer[keyTable]
}

type keyTable struct {
	revision      uint64
	organisations map[string]string
}

// lookup returns the organisation of a key hash.
func (k *keyIndex) lookup(doc *confd.Document, revision uint64, hash string) (string, bool) {
	table := k.current.Load()
	if table == nil || table.revision != revision {
		table = newKeyTable(doc, revision)
		k.current.Store(table)
	}
	name, ok := table.organisations[hash]
	return name, ok
}

func newKeyTable(doc *confd.Document, revision uint64) *keyTable {
	table := &keyTable{revision: revision, organisations: make(map[string]string, len(doc.Organisations))}
	for name, org := range doc.Organisations {
		for _, hash := range org.Keys {
			table.organisations[hash] = name
		}
	}
	return table
}

// authenticate identifies the organisation by the hash of the bearer key.
// Since the lookup is by hash, its timing reveals nothing about the stored
// keys.
func (s *Server) authenticate(r *http.Request) (caller, error) {
	doc, revision, err := s.options.Configuration.Document()
	if err != nil {
		return caller{}, err
	}
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return caller{}, fault.New(fault.Unauthenticated, "an API key is needed in the header Authorization: Bearer")
	}
	name, ok := s.keys.lookup(doc, revision, confd.KeyHash(key))
	if !ok {
		return caller{}, fault.New(fault.Unauthenticated, "the API key belongs to no organisation")
	}
	return caller{organisation: name, organisationConfig: doc.Organisations[name], document: doc, revision: revision}, nil
}
