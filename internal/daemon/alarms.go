package daemon

import (
	"time"

	"github.com/verbenapier/verbenapier/internal/alarm"
)

// buildAlarms creates the alarms, whose conditions read the state of this
// daemon.
func (d *Daemon) buildAlarms() {
	d.alarms = alarm.New(d.log, d.metrics.SubScope("alarm"), alarm.Conditions(alarm.Sources{
		Node:          d.settings.Name,
		LateRequests:  d.entry.LateRequests,
		ClaimsRefused: d.claimsRefused.Load,
		Memory:        d.engineMemory,
		Config:        func() (inForce, newest uint64) { return d.config.Revision(), d.config.HighestKnownRevision() },
		Leaving:       d.leavingHost,
		Drain:         d.drainStatus,
	}))
}

// engineMemory returns the KV memory of the engines that this node schedules.
// It omits cells whose scheduler is still rebuilding its state.
func (d *Daemon) engineMemory() []alarm.Memory {
	var list []alarm.Memory
	for _, snap := range d.cells.snapshots() {
		if snap.Rebuilding {
			continue
		}
		for _, e := range snap.Engines {
			list = append(list, alarm.Memory{Engine: e.Name, CapacityTokens: e.Capacity, UnexplainedTokens: e.Unexplained})
		}
	}
	return list
}

// drainStatus returns the time left until the drain timeout, the longest
// remaining time limit of a request in flight, and whether the node is
// draining.
func (d *Daemon) drainStatus() (left, longest time.Duration, draining bool) {
	started := d.drainStarted.Load()
	if started == nil {
		return 0, 0, false
	}
	for _, r := range d.entry.Requests() {
		longest = max(longest, r.Remaining)
	}
	return d.settings.DrainTimeout - time.Since(*started), longest, true
}

// leavingHost returns this host with the time at which its drain started and
// the time at which it last admitted a request. It returns nil if this host is
// not draining.
func (d *Daemon) leavingHost() []alarm.LeavingHost {
	started := d.drainStarted.Load()
	if started == nil {
		return nil
	}
	return []alarm.LeavingHost{{Host: d.settings.Name, Since: *started, LastWork: d.entry.LastAdmitted()}}
}
