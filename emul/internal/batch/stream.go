package batch

import (
	"time"

	"github.com/verbenapier/verbenapier/emul/internal/reply"
)

// stream is a request on the engine. The engine's mutex guards it.
type stream struct {
	req      Start
	source   reply.Source
	hashes   []uint64 // of the cacheable prefixes of the prompt
	arrival  uint64
	deadline time.Time // zero for none
	crash    bool

	promptTokens int
	cachedTokens int
	prefilled    int
	generated    int

	// private is the memory held outside of shared blocks; pinned counts the
	// leading blocks of hashes that the stream uses.
	private int
	pinned  int

	queued  bool // ready for the batch: set after the members hold their part
	batched bool
	ended   chan struct{} // closed when the stream has ended
	done    bool
	failure string

	readers  int
	detached time.Time     // when the last reader left or the stream ended
	changed  chan struct{} // closed and replaced at every change
}

func newStream(req Start, arrival uint64) *stream {
	s := &stream{
		req:          req,
		source:       reply.NewSource(req.Prompt),
		arrival:      arrival,
		promptTokens: reply.Tokens(len(req.Prompt)),
		ended:        make(chan struct{}),
		changed:      make(chan struct{}),
		detached:     time.Now(),
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

func (s *stream) decoding() bool { return s.batched && s.prefilled == s.promptTokens }

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) held() int { return s.private + s.pinned*blockTokens }

func (s *stream) info(now time.Time) StreamInfo {
	info := StreamInfo{
		ID: s.req.ID, Attempt: s.req.Attempt, Organisation: s.req.Organisation,
		PromptTokens: s.promptTokens, TokensHeld: s.held(), Generated: s.generated,
		Attached: s.readers > 0, Reservation: s.req.Reservation, Done: s.done,
	}
	if s.readers == 0 {
		info.DetachedMillis = now.Sub(s.detached).Milliseconds()
	}
	return info
}

// frame returns the frame at seq, which must be below generated.
func (s *stream) frame(attempt, seq int) Frame {
	f := Frame{Attempt: attempt, Seq: seq, Text: s.source.Token(seq)}
	if s.done && s.failure == "" && seq == s.generated-1 {
		f.Done = true
		f.FinishReason = "length"
		s.usage(&f)
	}
	return f
}

func (s *stream) failed(attempt int) Frame {
	f := Frame{Attempt: attempt, Seq: s.generated, Done: true, FinishReason: "error", Error: s.failure}
	s.usage(&f)
	return f
}

func (s *stream) usage(f *Frame) {
	f.PromptTokens = s.promptTokens
	f.CompletionTokens = s.generated
	f.CachedTokens = s.cachedTokens
}
