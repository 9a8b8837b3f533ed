package crash

import (
	"encoding/json"
	"testing"
)

// BenchmarkCheck measures the check that each request makes, with a full memory of
// parts, and reports the size of a message about the end of an engine.
func BenchmarkCheck(b *testing.B) {
	tracker := NewTracker()
	for p := range Part(maxRecords) {
		tracker.Began(Content{Shared: []Part{p + 1}})
	}
	c := Content{Whole: NewPart(nil, "whole"), Shared: []Part{17, 4711, 8000}}
	for b.Loop() {
		tracker.Check(c)
	}
	message, err := json.Marshal(Report{Engine: "i-0123456789@1790000000000", Content: c, Suspects: c.Shared})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(message)), "bytes/report")
}
