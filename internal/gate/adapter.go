// Package gate assembles and runs verbenapier-gateway, the daemon on each entry
// host. It serves callers, gives them the addresses of the hosts to use, and
// schedules the engines together with the other hosts.
package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/feed"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/relay"
	"github.com/verbenapier/verbenapier/internal/route"
)

// AdapterOptions are the dependencies of an Adapter.
type AdapterOptions struct {
	// Store is the address of the platform's metadata store.
	Store string
	// Dial connects to the store, and DialUpstream to upstreams.
	Dial, DialUpstream dialer.Func
	// UpstreamAnswers and StoreAnswers bound what answers of upstreams and of the store
	// hold while they are read.
	UpstreamAnswers, StoreAnswers answer.Memory
	// Notices collects what the answers of upstreams say of further requests.
	Notices *place.Notices
	Metrics tally.Scope
	Log     logrus.FieldLogger
}

// Adapter translates between the gateway and a platform.
type Adapter struct {
	Source   feed.Source
	Codec    relay.Codec
	Reserver relay.Reserver
	// Load asks an engine for its current load.
	Load place.Inspector
	// Query asks the upstream at an address anything, on a connection of dial. The error is
	// nil if any bytes come back.
	Query func(ctx context.Context, dial dialer.Func, address string) (place.Notice, error)
	// DecodeNotice returns what the head of an answer of an upstream says of further
	// requests; ok is false if it is no such head.
	DecodeNotice func(head []byte) (n place.Notice, ok bool)
	// Quarantines keeps quarantines on the platform.
	Quarantines crash.Store
	// DecodeQuarantine decodes a quarantine; ok is false if the key is not that of a
	// quarantine.
	DecodeQuarantine func(key string, data []byte) (q crash.Quarantine, ok bool, err error)
	// Meeting lets gateways that know no other be found. DecodeGateway decodes the
	// address that one has announced; ok is false if the key is not that of a gateway.
	Meeting       Meeting
	DecodeGateway func(key string, data []byte) (address string, ok bool, err error)
	// DecodeDocument decodes the operators' configuration document; ok is false if
	// the key is not that of the document.
	DecodeDocument func(key string, data []byte) (c *route.Config, ok bool, err error)
	// DecodeUpstream decodes the registration of an upstream; ok is false if the key
	// is not that of a registration.
	DecodeUpstream func(key string, data []byte) (u place.Upstream, ok bool, err error)
	// Directory returns the handler from which callers get the addresses of
	// hosts, and Ready the handler of the platform's readiness checks.
	Directory func(d Directory, lifetime time.Duration) http.Handler
	Ready     func(d Directory) http.Handler
}

// Meeting is where gateways that know no other leave their addresses.
type Meeting interface {
	// Announce leaves the peer address of a gateway for a time. Announcing it again
	// extends the time.
	Announce(ctx context.Context, name, address string, ttl time.Duration) error
}

// Directory is the state of a gateway that the handlers for callers and for the
// platform need.
type Directory interface {
	// Ready reports whether this host accepts requests.
	Ready() bool
	// Addresses returns addresses for callers in a region and failure domain.
	Addresses(region, domain string) []string
}
