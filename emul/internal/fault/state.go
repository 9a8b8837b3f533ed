// Package fault switches the faults of a stand-in on and off over HTTP.
package fault

import "time"

// The modes of an outage.
const (
	// OutageUnavailable answers 503 without an effect.
	OutageUnavailable = "unavailable"
	// OutageClosed closes connections without an effect.
	OutageClosed = "closed"
	// OutageHang never answers and has no effect.
	OutageHang = "hang"
)

// State is the body of POST /faults. Fields that are absent from the body keep
// their values. Silent and Crash act once.
type State struct {
	// Freeze accepts connections, never answers, and pauses the stand-in's own
	// work.
	Freeze bool `json:"freeze"`
	// SlowFactor multiplies the modelled times; 0 and 1 are normal speed.
	SlowFactor float64 `json:"slow_factor"`
	// DelayMillis delays every answer.
	DelayMillis int64 `json:"delay_ms"`
	// Outage is one of the outage modes or empty.
	Outage string `json:"outage"`
	// LoseNext is the number of next replies that are lost after the effect.
	LoseNext int `json:"lose_next"`
	// LoseShare is the share of replies that are lost after the effect.
	LoseShare float64 `json:"lose_share"`
	// Methods limits lost replies to these HTTP methods; empty for all.
	Methods []string `json:"methods"`
	// Silent makes the connections that are open now deliver nothing more.
	Silent bool `json:"silent"`
	// Crash ends the process.
	Crash bool `json:"crash"`
}

func (s State) delay() time.Duration { return time.Duration(s.DelayMillis) * time.Millisecond }
