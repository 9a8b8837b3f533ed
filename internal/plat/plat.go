// Package plat is the client of the platform: its key-value service, its list
// of hosts and its weight store.
package plat

import (
	"context"
	"net"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Revision numbers the writes of the key-value service. One counter covers
// all keys. Zero stands for a key that does not exist.
type Revision uint64

// Entry is a key with its value and the revision of its last write.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// MaxValueSize is the maximum size of a value in the key-value service, in bytes.
const MaxValueSize = 1 << 20

// Store is the key-value service.
//
// Errors have the kinds NotFound, Conflict (the base revision does not match),
// PlatformDown (the call had no effect) and ReplyLost (the call may have had an
// effect; read the key again to find out).
type Store interface {
	// Get returns the entry of a key, or NotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put replaces the value if the key's revision is base; base 0 creates
	// the key. It returns the new revision.
	Put(ctx context.Context, key string, value []byte, base Revision) (Revision, error)
	// Delete removes the key if its revision is base.
	Delete(ctx context.Context, key string, base Revision) error
	// Watch blocks until a key under prefix has a revision above after, or
	// until the service's maximum wait has passed, and returns the highest
	// revision under prefix.
	Watch(ctx context.Context, prefix string, after Revision) (Revision, error)
}

// HostLister returns the platform's list of hosts, which lags behind the real
// state of the hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Host is an entry of the platform's host list.
type Host struct {
	Name          string    `json:"name"`
	Role          Role      `json:"role"`
	Service       string    `json:"service,omitempty"`
	Address       string    `json:"address"`
	PeerAddress   string    `json:"peer_address,omitempty"`
	FailureDomain string    `json:"failure_domain"`
	Region        string    `json:"region,omitempty"`
	State         HostState `json:"state"`
}

// maxHostText bounds each text in an entry of the host list, in bytes.
const maxHostText = 512

// check returns an error if the entry names no host to use.
func (h Host) check() error {
	if h.Name == "" || h.FailureDomain == "" {
		return fault.New(fault.Invalid, "the name or the failure domain is missing")
	}
	for _, text := range []string{h.Name, h.Service, h.FailureDomain, h.Region} {
		if len(text) > maxHostText || strings.ContainsRune(text, utf8.RuneError) {
			return fault.New(fault.Invalid, "a name is too long or not UTF-8")
		}
	}
	switch h.Role {
	case RoleEntry, RoleEngine, RolePlain:
	default:
		return fault.New(fault.Invalid, "unknown role %q", h.Role)
	}
	if h.State != HostLive && h.State != HostLeaving {
		return fault.New(fault.Invalid, "unknown state %q", h.State)
	}
	if !validAddress(h.Address) || h.PeerAddress != "" && !validAddress(h.PeerAddress) {
		return fault.New(fault.Invalid, "no valid address")
	}
	return nil
}

// validAddress reports whether text has the form host:port.
func validAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	n, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != "" && n != 0 && len(text) <= maxHostText
}

// Role is the function of a host.
type Role string

// The roles of hosts.
const (
	// RoleEntry hosts run the daemon.
	RoleEntry Role = "entry"
	// RoleEngine hosts run a language model engine.
	RoleEngine Role = "engine"
	// RolePlain hosts are upstreams of a service without a language model.
	RolePlain Role = "plain"
)

// HostState is the state of a host in the platform's list.
type HostState string

// The states of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)
