package batch

import (
	"time"

	"github.com/verbenapier/verbenapier/emul/internal/reply"
)

// stream is a request on the engine. The engine's mutex guards it.
type stream struct {
	req      StartRequest // without the prompt
	source   reply.Source
	hashes   []uint64  // of the cacheable prefixes of the prompt
	arrival  uint64    // position in the order of arrival
	deadline time.Time // zero for none
	crash    bool      // the prompt contains the crash marker

	promptTokens int
	cachedTokens int // prompt tokens found in the prefix cache
	prefilled    int // prompt tokens prefilled, cached ones included
	generated    int // tokens generated

	// privateTokens is the memory in tokens outside of shared blocks. pinned is the
	// number of leading blocks of hashes that the stream has pinned.
	privateTokens int
	pinned        int

	queued  bool          // may join the batch; set once the members hold their part
	batched bool          // in the batch
	ended   chan struct{} // closed when the stream has ended
	done    bool          // the stream has ended
	failure string        // reason if it ended early, otherwise empty

	readers    int
	detachedAt time.Time     // when the last reader left or the stream ended
	changed    chan struct{} // closed and replaced at every change
}

func newStream(req StartRequest, arrival uint64) *stream {
	s := &stream{
		req:          req,
		source:       reply.NewSource(req.Prompt),
		arrival:      arrival,
		promptTokens: reply.Tokens(len(req.Prompt)),
		ended:        make(chan struct{}),
		changed:      make(chan struct{}),
		detachedAt:   time.Now(),
	}
	if len(req.Members) == 0 {
		s.hashes = prefixHashes(req.Organisation, req.Prompt)
	}
	if req.TimeLimitMillis > 0 {
		s.deadline = time.Now().Add(time.Duration(req.TimeLimitMillis) * time.Millisecond)
	}
	s.req.Prompt = ""
	return s
}

// before orders streams by priority, then by arrival.
func (s *stream) before(other *stream) bool {
	if s.req.Priority != other.req.Priority {
		return s.req.Priority < other.req.Priority
	}
	return s.arrival < other.arrival
}

// decoding reports whether the stream is in the batch and its prompt is prefilled.
func (s *stream) decoding() bool { return s.batched && s.prefilled == s.promptTokens }

// notify wakes the readers that wait for a change.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) heldTokens() int { return s.privateTokens + s.pinned*blockTokens }

func (s *stream) info(now time.Time) StreamInfo {
	info := StreamInfo{
		ID: s.req.ID, Attempt: s.req.Attempt, Organisation: s.req.Organisation,
		PromptTokens: s.promptTokens, TokensHeld: s.heldTokens(), Generated: s.generated,
		Attached: s.readers > 0, Reservation: s.req.Reservation, Done: s.done,
	}
	if s.readers == 0 {
		info.DetachedMillis = now.Sub(s.detachedAt).Milliseconds()
	}
	return info
}

// frame returns the frame of the token at seq, which must be below generated.
func (s *stream) frame(attempt, seq int) Frame {
	f := Frame{Attempt: attempt, Seq: seq, Text: s.source.Token(seq)}
	if s.done && s.failure == "" && seq == s.generated-1 {
		f.Done = true
		f.FinishReason = "length"
		s.setUsage(&f)
	}
	return f
}

// failureFrame returns the last frame of a failed stream.
func (s *stream) failureFrame(attempt int) Frame {
	f := Frame{Attempt: attempt, Seq: s.generated, Done: true, FinishReason: "error", Error: s.failure}
	s.setUsage(&f)
	return f
}

func (s *stream) setUsage(f *Frame) {
	f.PromptTokens = s.promptTokens
	f.CompletionTokens = s.generated
	f.CachedTokens = s.cachedTokens
}
