package daemon

import (
	"time"

	"github.com/verbenapier/verbenapier/internal/alarm"
)

// buildAlarms builds the alarms over the state of this daemon.
func (d *Daemon) buildAlarms() {
	d.alarms = alarm.New(d.log, d.metrics.SubScope("alarm"), alarm.Conditions(alarm.Sources{
		Node:          d.settings.Name,
		LateRequests:  d.entry.Late,
		ClaimsRefused: d.claimsRefused.Load,
		Memory:        d.engineMemory,
		Config:        func() (inForce, newest uint64) { return d.config.Revision(), d.config.Newest() },
		Leaving:       d.leavingHost,
		Drain:         d.drainLeft,
	}))
}

// engineMemory returns the memory of the engines that this node schedules.
func (d *Daemon) engineMemory() []alarm.Memory {
	var list []alarm.Memory
	for _, snap := range d.cells.snapshots() {
		if snap.Rebuilding {
			continue
		}
		for _, e := range snap.Engines {
			list = append(list, alarm.Memory{Engine: e.Name, CapacityTokens: e.Capacity, UnexplainedTokens: e.Foreign})
		}
	}
	return list
}

// drainLeft returns the time left to drain and the longest remaining time
// limit of a request in flight.
func (d *Daemon) drainLeft() (left, longest time.Duration, draining bool) {
	started := d.drainStarted.Load()
	if started == nil {
		return 0, 0, false
	}
	for _, r := range d.entry.Requests() {
		longest = max(longest, r.Remaining)
	}
	return d.settings.DrainTimeout - time.Since(*started), longest, true
}

// leavingHost returns this host once it leaves, with the last request it took.
func (d *Daemon) leavingHost() []alarm.LeavingHost {
	started := d.drainStarted.Load()
	if started == nil {
		return nil
	}
	return []alarm.LeavingHost{{Host: d.settings.Name, Since: *started, LastWork: d.entry.LastAdmitted()}}
}
