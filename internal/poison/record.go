package poison

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// State is what is known about a prompt.
type State string

// The states.
const (
	// Clear prompts run in batches with others.
	Clear State = "clear"
	// Alone prompts were on an engine that died. They run alone on an engine,
	// after Reserve.
	Alone State = "alone"
	// Quarantined prompts killed an engine while they ran alone.
	Quarantined State = "quarantined"
)

// Record is what the platform keeps about a prompt. It holds hashes only.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	State       State       `json:"state"`
	// Since is the time of the first crash. The record ends at Until.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	// Crashes counts the dispatches that ended with the death of their engine.
	Crashes int `json:"crashes"`
	// Dispatches are hashes of the latest of them. A crash that is reported
	// twice counts once.
	Dispatches []uint64 `json:"dispatches"`
	// Runner is the hash of the dispatch that may run alone until RunUntil.
	Runner   uint64    `json:"runner,omitempty"`
	RunUntil time.Time `json:"run_until,omitzero"`
}

// maxDispatches is how many dispatches a record keeps.
const maxDispatches = 16

// Mark is a prompt that was running on an engine when the engine died.
type Mark struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Dispatch identifies one dispatch of the prompt over the fleet and over
	// time, such as the stream id with its attempt.
	Dispatch string `json:"dispatch"`
	// Alone says that the prompt was reserved and nothing else ran on the
	// engine.
	Alone bool `json:"alone"`
	// Quarantine is the service's quarantine time.
	Quarantine time.Duration `json:"quarantine_ns"`
}

// blame adds a crash to the records. It reports whether they changed. A prompt
// is quarantined only when it was a suspect before and ran alone in a dispatch
// that was not counted yet.
func blame(records map[Fingerprint]Record, m Mark, suspectTime time.Duration, now time.Time) bool {
	hash := dispatchHash(m.Dispatch)
	r, known := records[m.Fingerprint]
	if known && slices.Contains(r.Dispatches, hash) {
		return false
	}
	if !known {
		r = Record{Fingerprint: m.Fingerprint, State: Alone, Since: now}
	}
	r.Crashes++
	r.Dispatches = append(slices.Clone(r.Dispatches), hash)
	if extra := len(r.Dispatches) - maxDispatches; extra > 0 {
		r.Dispatches = r.Dispatches[extra:]
	}
	if r.Runner == hash {
		r.Runner, r.RunUntil = 0, time.Time{}
	}
	switch {
	case r.State == Quarantined:
	case known && m.Alone:
		r.State, r.Until = Quarantined, now.Add(m.Quarantine)
	default:
		r.Until = now.Add(suspectTime)
	}
	records[m.Fingerprint] = r
	return true
}

// contains reports whether every dispatch of the marks is counted.
func (r Record) contains(m Mark) bool { return slices.Contains(r.Dispatches, dispatchHash(m.Dispatch)) }

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
