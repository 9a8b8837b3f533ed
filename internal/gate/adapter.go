// Package gate builds and runs the parts of verbenapier-gateway: one daemon on
// each entry host, which serves callers, tells them which hosts to use, and
// shares the scheduling of the engines with the other hosts.
package gate

import (
	"net/http"
	"time"

	"github.com/verbenapier/verbenapier/internal/feed"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/relay"
	"github.com/verbenapier/verbenapier/internal/route"
)

// Adapter translates between the gateway and a platform.
type Adapter struct {
	Source feed.Source
	Codec  relay.Codec
	Memory relay.Reserver
	// Load asks an engine for its load.
	Load place.Inspector
	// Document decodes the operators' document; ok is false for other keys.
	Document func(key string, data []byte) (c *route.Config, ok bool, err error)
	// Upstream decodes a registration; ok is false for other keys.
	Upstream func(key string, data []byte) (u place.Upstream, ok bool, err error)
	// Directory answers callers that ask for addresses, Ready the platform's
	// readiness checks.
	Directory func(d Directory, lifetime time.Duration) http.Handler
	Ready     func(d Directory) http.Handler
}

// Directory is what the platform and callers ask of a gateway.
type Directory interface {
	// Ready reports whether this host takes requests.
	Ready() bool
	// Addresses returns addresses for callers in a region and failure domain.
	Addresses(region, domain string) []string
}
