package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/verbenapier/verbenapier/emul/internal/reply"
)

// documents is the number of common prefixes of an organisation and length.
const documents = 4

// job is one request of a run.
type job struct {
	number int
	at     time.Duration // since the start of the run
	key    string
	// A plain call has an idempotency key and no tokens.
	plain   bool
	unique  uuid.UUID
	resend  bool
	tokens  int
	prefix  float64
	variant int
}

// planner makes the jobs of a run, the same for the same seed.
type planner struct {
	cfg    Config
	rng    *rand.Rand
	source *rand.ChaCha8
	number int
	at     time.Duration
}

func newPlanner(cfg Config) *planner {
	var seed [32]byte
	copy(seed[:], fmt.Sprint(cfg.Seed))
	source := rand.NewChaCha8(seed)
	return &planner{cfg: cfg, source: source, rng: rand.New(source)}
}

// next returns the next job, or false at the end of the run.
func (p *planner) next() (job, bool) {
	p.at += time.Duration(p.rng.ExpFloat64() / p.cfg.Rate * float64(time.Second))
	if p.cfg.Count > 0 && p.number >= p.cfg.Count || p.cfg.Duration > 0 && p.at > p.cfg.Duration {
		return job{}, false
	}
	j := job{
		number: p.number, at: p.at, key: p.cfg.Keys[p.rng.IntN(len(p.cfg.Keys))],
		plain: p.rng.Float64() < p.cfg.PlainShare,
	}
	p.number++
	if j.plain {
		j.resend = p.rng.Float64() < p.cfg.ResendShare
		return j, true
	}
	j.tokens = p.cfg.Mix.pick(p.rng)
	j.prefix = p.cfg.PrefixShare
	j.variant = p.rng.IntN(documents)
	return j, true
}

// stamp gives a plain call its key. The key holds the time, so that it is made
// when the call is sent.
func (p *planner) stamp(j *job) error {
	var err error
	j.unique, err = uuid.NewV7FromReader(p.source)
	return err
}

// prompt returns the prompt: a common prefix, the number of the job, and filler.
func (j job) prompt() string {
	size := j.tokens * reply.BytesPerToken
	var b strings.Builder
	b.Grow(size)
	fill(&b, fmt.Sprintf("document %d of %s, %d tokens. ", j.variant, j.key, j.tokens), int(float64(size)*j.prefix))
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

// body is the body of a plain call.
func (j job) body() string { return fmt.Sprintf(`{"request":%d}`, j.number) }
