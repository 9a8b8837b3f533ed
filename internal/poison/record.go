package poison

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// State says how a prompt may run.
type State string

// The states.
const (
	// Clear prompts run on an engine together with others.
	Clear State = "clear"
	// Suspected prompts, also called suspects, were running on an engine when it
	// crashed. They run alone on an engine, after Reserve.
	Suspected State = "alone"
	// Quarantined prompts crashed an engine while they ran alone. They are not
	// dispatched.
	Quarantined State = "quarantined"
)

// Record is the stored state of a suspect or a quarantined prompt. It contains
// only hashes of the prompt and its dispatches.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	State       State       `json:"state"`
	// Since is the time of the first crash. The record expires at Until.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	// Crashes counts the dispatches that ended with a crash of their engine.
	Crashes int `json:"crashes"`
	// Dispatches are the hashes of the latest dispatches that ended with a crash,
	// at most maxDispatches. They ensure that a crash that is reported twice counts
	// once.
	Dispatches []uint64 `json:"dispatches"`
	// ReservedBy is the hash of the dispatch that may run the prompt alone until
	// ReservedUntil.
	ReservedBy    uint64    `json:"runner,omitempty"`
	ReservedUntil time.Time `json:"run_until,omitzero"`
}

const maxDispatches = 16

// CrashReport reports that an engine crashed while it ran a dispatch of a prompt. It
// is committed when the prompt's Record on the platform counts the crash.
type CrashReport struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Dispatch identifies one dispatch of the prompt, uniquely in the fleet and
	// over time, for example the stream id with the attempt.
	Dispatch string `json:"dispatch"`
	// Alone reports whether the prompt was reserved for this dispatch and nothing
	// else ran on the engine.
	Alone bool `json:"alone"`
	// Quarantine is the duration of a quarantine in the prompt's service.
	Quarantine time.Duration `json:"quarantine_ns"`
}

// addCrash adds a crash to the records and reports whether they changed. A
// prompt is quarantined only if it was a suspect already and ran alone in a
// dispatch that has not been counted yet.
func addCrash(records map[Fingerprint]Record, report CrashReport, suspectTime time.Duration, now time.Time) bool {
	hash := dispatchHash(report.Dispatch)
	r, known := records[report.Fingerprint]
	if known && slices.Contains(r.Dispatches, hash) {
		return false
	}
	if !known {
		r = Record{Fingerprint: report.Fingerprint, State: Suspected, Since: now}
	}
	r.Crashes++
	r.Dispatches = append(slices.Clone(r.Dispatches), hash)
	if excess := len(r.Dispatches) - maxDispatches; excess > 0 {
		r.Dispatches = r.Dispatches[excess:]
	}
	if r.ReservedBy == hash {
		r.ReservedBy, r.ReservedUntil = 0, time.Time{}
	}
	switch {
	case r.State == Quarantined:
	case known && report.Alone:
		r.State, r.Until = Quarantined, now.Add(report.Quarantine)
	default:
		r.Until = now.Add(suspectTime)
	}
	records[report.Fingerprint] = r
	return true
}

// counts reports whether the record counts the crash that a report describes. It
// compares the report's dispatch with those in the record.
func (r Record) counts(report CrashReport) bool {
	return slices.Contains(r.Dispatches, dispatchHash(report.Dispatch))
}

func decodeRecords(value []byte) (map[Fingerprint]Record, error) {
	records := map[Fingerprint]Record{}
	if len(value) == 0 {
		return records, nil
	}
	var list []Record
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "malformed records of suspects")
	}
	for _, r := range list {
		records[r.Fingerprint] = r
	}
	return records, nil
}

func encodeRecords(records map[Fingerprint]Record) ([]byte, error) {
	return json.Marshal(listRecords(records))
}

func listRecords(records map[Fingerprint]Record) []Record {
	list := make([]Record, 0, len(records))
	for _, r := range records {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Record) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}
