package member

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
)

// Options are the dependencies of a Table.
type Options struct {
	// Self describes this node. A zero incarnation is replaced by the current
	// time in Unix microseconds, an empty state by Alive.
	Self   Member
	Caller wire.Caller
	Random *rand.Rand
	Log    logrus.FieldLogger
	// Hosts lists the hosts among which this node finds its first peers. Nil
	// when there is no such list, or when other nodes contact this node first.
	Hosts plat.HostLister
	// Seeds are peer addresses of nodes to join, for deployments without a host
	// list or whose host list does not contain the nodes themselves (the hosts
	// with plat.RoleEntry). They may be out of date.
	Seeds []string
	// OnChange is called with each change of a member's state as this node sees
	// it; nil for none. It must not block or call the table.
	OnChange func(before, after Member)
	// Disabled is the set of mechanisms that are off. A test disables a mechanism
	// to show that its check fails when that mechanism is missing.
	Disabled Mechanism
}

// Mechanism is a set of parts of the protocol that can be disabled.
type Mechanism uint

// The mechanisms that a test can disable.
const (
	// IndirectProbes asks other members to ping a member that did not answer.
	IndirectProbes Mechanism = 1 << iota
	// Refutation overrides false reports about this node, and verifies reports that
	// a member is dead.
	Refutation
	// Exchange compares the full state with random peers.
	Exchange
	// Forwarding pushes updates without waiting for a ping.
	Forwarding
	// StallCheck restarts the time of all suspicions (suspicionTime) after a pause
	// of this node.
	StallCheck
	// Survey pings all members when most of the last probes failed.
	Survey
)

// Revisions gives the revision of the configuration in force on this node, which
// is sent with each message, and receives the higher revisions of peers.
type Revisions interface {
	// Revision returns the revision in force on this node, or zero.
	Revision() uint64
	// HandlePeerRevision is called when a peer has a higher revision in force. It
	// must not block.
	HandlePeerRevision(revision uint64, peer Member)
}

const (
	// protocolPeriod is the time between two probes that this node makes. It is
	// also the mean time between two rounds of exchangeLoop.
	protocolPeriod = time.Second
	// tickInterval is how often the node checks for stalls, reported deaths and
	// expired suspicions.
	tickInterval   = 250 * time.Millisecond
	pingTimeout    = 300 * time.Millisecond
	pingReqTimeout = 600 * time.Millisecond
	pushTimeout    = 900 * time.Millisecond
	// suspicionTime is how long a suspected member has to refute the suspicion
	// before it is declared dead.
	suspicionTime = 5 * time.Second
	// refutationTime is how long a node must have suspected a member itself
	// before it accepts a peer's report that the member is dead. A refutation
	// takes two rounds of pushes.
	refutationTime = 2 * time.Second
	// stallThreshold is the maximum time on a running node from the end of a tick
	// to the next one. A round of probes also takes at most that long. If more
	// time passes, the node has been paused, and members that did not answer in
	// that time may be alive.
	stallThreshold = 2 * time.Second
	// deadRetention is how long a dead member is kept and contacted, so that
	// members on the two sides of a partition find each other afterwards even if
	// the platform's host list cannot be read.
	deadRetention = time.Hour
	// exchangeInterval is the mean time between two exchanges with a member that is
	// not dead.
	exchangeInterval = 10 * time.Second
	// minEqualExchanges is how many exchanges in succession must find no difference
	// before a newly started node lengthens the time between exchanges from
	// protocolPeriod to exchangeInterval. If half of the nodes are new, all three
	// exchanges are with new nodes, which may miss the same member, in at most
	// one start out of eight. The node then learns of that member through pings.
	minEqualExchanges = 3
	// pushDelay is the minimum time between two rounds of pushes, so that
	// updates caused by one event are sent in one message.
	pushDelay = 50 * time.Millisecond

	// surveyFailures is how many of the last probes must have failed before all
	// members are pinged at once. failureHistoryMask has one bit for each of these
	// last probes.
	surveyFailures     = 2
	failureHistoryMask = 0b111
	surveyWorkers      = 128
	// maxVerifiedPerTick is how many of the members that peers reported dead are
	// probed in one tick.
	maxVerifiedPerTick = 8

	// indirectProbeFanout is how many members relay an indirect probe.
	indirectProbeFanout = 3
	// pushFanout is how many members a push goes to.
	pushFanout = 4
	// transmissionFactor times log2 of the number of members is the number of
	// times that an update is sent on pings.
	transmissionFactor = 2
	// maxPiggyback is how many queued updates are sent with one ping or its answer.
	maxPiggyback = 8
	// maxPush is how many updates are sent with one push.
	maxPush = 32
	// maxExchange is how many updates are accepted with one ping or push, and how
	// many records are sent with one message of an exchange. One limit serves both,
	// because an exchange sends the records that the peer lacks as updates of a push.
	maxExchange       = 64
	maxExchangeRounds = 12
	// digestBuckets is the number of hashes in Push.Digest. It must be a power of
	// two.
	digestBuckets = 32

	// seedsInterval is the mean time between two attempts to join through the
	// seeds while no other member is known.
	seedsInterval = 150 * time.Millisecond

	// hostsInterval is the mean time between two reads of the host list when other
	// members are known.
	hostsInterval = 30 * time.Second
	hostsRetryMin = 500 * time.Millisecond
	hostsRetryMax = 15 * time.Second
	// hostsIsolatedBackoff is the minimum of the mean time between two reads of the
	// host list while no other member is known. Because of jitter a single wait may
	// be half as long.
	hostsIsolatedBackoff = 4 * time.Second
	// hostsReaders is how many members of a failure domain keep reading the
	// platform's host list.
	hostsReaders = 1
)
