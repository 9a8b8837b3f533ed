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
	// Hosts gives the first peers; nil when the peers find this node.
	Hosts plat.HostLister
	// Seeds are peer addresses of nodes to join, for deployments whose host
	// list names no entry hosts. They may be out of date.
	Seeds []string
	// Check is called with each change of a member's state as this node sees
	// it; nil for none. It must not block or call the table.
	Check func(before, after Member)
	// Without switches mechanisms off, so that a test can show that its
	// check fails without them.
	Without Mechanism
}

// Mechanism is a set of parts of the protocol.
type Mechanism uint

// The mechanisms that a test can switch off.
const (
	IndirectProbes Mechanism = 1 << iota
	Refutation
	Exchange
	Forwarding
	StallCheck
	Survey
)

// Revisions is the configuration whose revision the messages carry.
type Revisions interface {
	// Revision returns the revision in force on this node, or zero.
	Revision() uint64
	// Learn tells that a peer has a higher revision in force. It must not
	// block.
	Learn(revision uint64, peer Member)
}

const (
	period         = time.Second
	tick           = 250 * time.Millisecond
	pingTimeout    = 300 * time.Millisecond
	pingReqTimeout = 600 * time.Millisecond
	pushTimeout    = 900 * time.Millisecond
	// suspicionTime is the time in which a suspected member can refute.
	suspicionTime = 5 * time.Second
	// refutationTime is how long a node has suspected a member itself before
	// it accepts from a peer that the member is dead. A refutation takes two
	// rounds of pushes.
	refutationTime = 2 * time.Second
	// stallTime is the longest gap between two ticks of a running node. After
	// a longer one the node was paused, and silence of others proves nothing.
	stallTime = 2 * time.Second
	// deadTime is how long a dead member is remembered and contacted, so that
	// a partition heals without the platform.
	deadTime     = time.Hour
	exchangeTime = 10 * time.Second
	// settledExchanges is how many exchanges without a difference end the
	// catching up of a started node. With half of the nodes new, three in a row
	// miss a member in one start of eight at worst, and pings make up for that.
	settledExchanges = 3
	// pushDelay gathers updates of one event into one message.
	pushDelay = 50 * time.Millisecond

	// surveyFailures of the last probes in historyMask must fail before all
	// members are pinged at once.
	surveyFailures = 2
	historyMask    = 0b111
	surveyWorkers  = 128
	// maxVerified is how many reports of deaths are verified at a time.
	maxVerified = 8

	indirectProbes = 3
	pushFanout     = 4
	// transmissions times log2 of the number of members is how often one
	// update travels on pings.
	transmissions = 2
	maxPiggyback  = 8
	maxPush       = 32
	maxExchange   = 64
	maxRounds     = 12
	buckets       = 32

	// seedsTime is how often seeds are asked while no other member is known.
	seedsTime = 150 * time.Millisecond

	hostsTime     = 30 * time.Second
	hostsRetryMin = 500 * time.Millisecond
	hostsRetryMax = 15 * time.Second
	hostsLonely   = 4 * time.Second
	// hostsReaders is how many members of a failure domain keep reading the
	// platform's host list.
	hostsReaders = 1
)
