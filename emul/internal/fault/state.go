// Package fault injects faults into a stand-in. They are switched over HTTP.
package fault

import "time"

// The modes of an outage.
const (
	// OutageUnavailable answers requests with 503 and does not execute them.
	OutageUnavailable = "unavailable"
	// OutageClosed closes the connections of requests and does not execute them.
	OutageClosed = "closed"
	// OutageHang never answers requests and does not execute them.
	OutageHang = "hang"
)

// State is the body of POST /faults. Fields that are absent from the body keep
// their values. Silent and Crash take effect once and are not kept.
type State struct {
	// Freeze pauses the stand-in: it accepts connections, does not answer, and
	// does no work of its own.
	Freeze bool `json:"freeze"`
	// SlowFactor multiplies the modelled times; 0 and 1 are normal speed.
	SlowFactor float64 `json:"slow_factor"`
	// DelayMillis is the wait before every request is executed.
	DelayMillis int64 `json:"delay_ms"`
	// Outage is one of the outage modes or empty.
	Outage string `json:"outage"`
	// LoseNext is the number of following requests that are executed and whose
	// replies are lost.
	LoseNext int `json:"lose_next"`
	// LoseShare is the share of requests that are executed and whose replies are
	// lost.
	LoseShare float64 `json:"lose_share"`
	// Methods limits lost replies to these HTTP methods; empty for all.
	Methods []string `json:"methods"`
	// Silent makes the connections that are open now carry no further answers.
	// They stay open.
	Silent bool `json:"silent"`
	// Crash ends the process.
	Crash bool `json:"crash"`
}

func (s State) delay() time.Duration { return time.Duration(s.DelayMillis) * time.Millisecond }
