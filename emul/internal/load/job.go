package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/verbenapier/verbenapier/emul/internal/reply"
)

// prefixCount is the number of different prefixes for prompts with the same API key
// and length. Each of these prompts begins with one of them.
const prefixCount = 4

// job is one request of a load test.
type job struct {
	number int
	offset time.Duration // time of sending, since the start of the load test
	apiKey string
	// plain marks a call of the plain service; other jobs are completions.
	plain bool

	// The following fields are set for plain calls only.
	idempotencyKey uuid.UUID
	resend         bool // send the call again after its answer

	// The following fields are set for completions only.
	tokens       int     // length of the prompt
	prefixShare  float64 // share of the prompt that the prefix takes up
	prefixNumber int     // which of the prefixCount prefixes the prompt begins with
}

// planner generates the jobs of a load test. The same seed gives the same jobs.
type planner struct {
	cfg    Config
	rng    *rand.Rand
	source *rand.ChaCha8 // of rng and of idempotency keys
	number int           // of the next job
	offset time.Duration // of the last job
}

func newPlanner(cfg Config) *planner {
	var seed [32]byte
	copy(seed[:], fmt.Sprint(cfg.Seed))
	source := rand.NewChaCha8(seed)
	return &planner{cfg: cfg, source: source, rng: rand.New(source)}
}

// next returns the next job, or false at the end of the load test.
func (p *planner) next() (job, bool) {
	p.offset += time.Duration(p.rng.ExpFloat64() / p.cfg.Rate * float64(time.Second))
	if p.cfg.Count > 0 && p.number >= p.cfg.Count || p.cfg.Duration > 0 && p.offset > p.cfg.Duration {
		return job{}, false
	}
	j := job{
		number: p.number, offset: p.offset, apiKey: p.cfg.Keys[p.rng.IntN(len(p.cfg.Keys))],
		plain: p.rng.Float64() < p.cfg.PlainShare,
	}
	p.number++
	if j.plain {
		j.resend = p.rng.Float64() < p.cfg.ResendShare
		return j, true
	}
	j.tokens = p.cfg.Mix.pick(p.rng)
	j.prefixShare = p.cfg.PrefixShare
	j.prefixNumber = p.rng.IntN(prefixCount)
	return j, true
}

// setIdempotencyKey generates the idempotency key of a plain call. It is called
// when the call is sent, since the key, a version 7 UUID, contains the time.
func (p *planner) setIdempotencyKey(j *job) error {
	var err error
	j.idempotencyKey, err = uuid.NewV7FromReader(p.source)
	return err
}

// prompt returns a prompt of j.tokens. It consists of a prefix that other prompts
// have too, and of the repeated number of the job, which makes it unique.
func (j job) prompt() string {
	size := j.tokens * reply.BytesPerToken
	var b strings.Builder
	b.Grow(size)
	fill(&b, fmt.Sprintf("document %d of %s, %d tokens. ", j.prefixNumber, j.apiKey, j.tokens), int(float64(size)*j.prefixShare))
	own := fmt.Sprintf("request %d ", j.number)
	fill(&b, own, max(size, b.Len()+len(own)))
	return b.String()
}

// fill repeats text until b has size bytes.
func fill(b *strings.Builder, text string, size int) {
	for b.Len() < size {
		b.WriteString(text[:min(len(text), size-b.Len())])
	}
}

// body returns the body of a plain call.
func (j job) body() string { return fmt.Sprintf(`{"request":%d}`, j.number) }
