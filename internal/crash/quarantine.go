package crash

import (
	"slices"
	"strconv"
	"time"
)

// Quarantine is a set of parts. Requests that have all of them are refused.
type Quarantine struct {
	Parts []Part `json:"parts"`
	// Engine is the process that ended in the trial of the parts.
	Engine string    `json:"engine"`
	Until  time.Time `json:"until"`
	// Term is the length of the quarantine. A further one of the same parts is twice
	// as long.
	Term time.Duration `json:"term_ns"`
}

const (
	// maxParts bounds the parts of a quarantine. The content of a request has fewer.
	maxParts = 64
	// maxClockSkew is how far the clocks of two hosts may differ.
	maxClockSkew = time.Minute
)

// Valid reports whether a host can have decided a quarantine that ends so late.
func (q Quarantine) Valid(now time.Time) bool {
	return len(q.Parts) > 0 && len(q.Parts) <= maxParts && !slices.Contains(q.Parts, 0) &&
		q.Term >= 0 && q.Term <= maxQuarantine && q.Until.Sub(now) <= maxQuarantine+maxClockSkew
}

// Key returns a name that is the same for quarantines of the same parts.
func (q Quarantine) Key() string {
	texts := make([]string, len(q.Parts))
	for i, p := range q.Parts {
		texts[i] = strconv.FormatUint(uint64(p), 36)
	}
	return strconv.FormatUint(uint64(NewPart(nil, texts...)), 36)
}

func (q Quarantine) active(now time.Time) bool { return now.Before(q.Until) }
