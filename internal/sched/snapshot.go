package sched

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is the state of a scheduler for the operators' dump. It holds no
// prompt data.
type Snapshot struct {
	Cell       string           `json:"cell"`
	Owner      string           `json:"owner"`
	Rebuilding bool             `json:"rebuilding"`
	Queue      []OrgSnapshot    `json:"queue"`
	Grants     []GrantSnapshot  `json:"grants"`
	Engines    []EngineSnapshot `json:"engines"`
	Digest     LoadDigest       `json:"digest"`
}

// OrgSnapshot is the queue of one organisation.
type OrgSnapshot struct {
	Organisation string        `json:"organisation"`
	Requests     int           `json:"requests"`
	Tokens       int           `json:"tokens"`
	OldestWait   time.Duration `json:"oldest_wait_ns"`
}

// GrantSnapshot is a grant that has not ended.
type GrantSnapshot struct {
	ID           string        `json:"id"`
	Organisation string        `json:"organisation"`
	Entry        string        `json:"entry"`
	Engine       string        `json:"engine"`
	Members      int           `json:"members"`
	Tokens       int           `json:"tokens"`
	Age          time.Duration `json:"age_ns"`
	Alone        bool          `json:"alone"`
	Lapsed       bool          `json:"lapsed"`
}

// EngineSnapshot is the scheduler's record of one engine. Memory is in tokens.
type EngineSnapshot struct {
	Name        string        `json:"name"`
	Capacity    int           `json:"capacity_tokens"`
	Booked      int           `json:"reserved_tokens"`
	Held        int           `json:"held_tokens"`
	Unexplained int           `json:"foreign_tokens"`
	Grants      int           `json:"grants"`
	Reported    bool          `json:"reported"`
	ReportAge   time.Duration `json:"report_age_ns"`
	Leaving     bool          `json:"leaving"`
	Lost        bool          `json:"lost"`
	Exclusive   bool          `json:"exclusive"`
}

// Snapshot returns a copy of the state, sorted by name.
func (s *Scheduler) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	snap := Snapshot{
		Cell: s.opts.Cell, Owner: s.opts.Owner,
		Rebuilding: now.Before(s.rebuildUntil), Digest: s.digest(now),
	}
	orgs := map[string]*OrgSnapshot{}
	for _, t := range s.tickets {
		o := orgs[t.req.Organisation]
		if o == nil {
			o = &OrgSnapshot{Organisation: t.req.Organisation}
			orgs[t.req.Organisation] = o
		}
		o.Requests++
		o.Tokens += t.memory
		o.OldestWait = max(o.OldestWait, now.Sub(t.arrived))
	}
	for _, o := range orgs {
		snap.Queue = append(snap.Queue, *o)
	}
	slices.SortFunc(snap.Queue, func(a, b OrgSnapshot) int { return cmp.Compare(a.Organisation, b.Organisation) })
	for _, g := range sortedGrants(s.grants) {
		gs := GrantSnapshot{
			ID: g.id, Organisation: g.org, Entry: g.entry, Engine: g.leader().name,
			Members: len(g.shares) - 1, Age: now.Sub(g.grantedAt), Alone: g.alone, Lapsed: g.lapsed,
		}
		for _, sh := range g.shares {
			gs.Tokens += sh.tokens
		}
		snap.Grants = append(snap.Grants, gs)
	}
	for _, e := range s.engines {
		snap.Engines = append(snap.Engines, EngineSnapshot{
			Name: e.name, Capacity: e.capacity, Booked: e.booked, Held: e.held, Unexplained: e.unexplained,
			Grants: len(e.grants), Reported: e.reported, ReportAge: now.Sub(e.measuredAt),
			Leaving: e.leaving, Lost: e.lost, Exclusive: e.exclusive != nil,
		})
	}
	slices.SortFunc(snap.Engines, func(a, b EngineSnapshot) int { return cmp.Compare(a.Name, b.Name) })
	return snap
}
