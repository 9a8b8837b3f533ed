package entry

import "sync"

const (
	// initialBytesPerToken is the ratio assumed for a model before any usage
	// figure has arrived.
	initialBytesPerToken = 4.0
	// ratioGain is the weight of a new usage figure in the running average.
	ratioGain = 0.05
	// minObservedTokens is the shortest prompt whose usage figure counts; the
	// ratio of very short prompts is dominated by fixed overhead.
	minObservedTokens = 64
)

// tokenRatio estimates the token count of prompts from their bytes, per model,
// and corrects the ratio by the engines' usage figures.
type tokenRatio struct {
	mu     sync.Mutex
	ratios map[string]float64
}

func newTokenRatio() *tokenRatio {
	return &tokenRatio{ratios: map[string]float64{}}
}

// estimate returns the estimated token count of a prompt of size bytes.
func (t *tokenRatio) estimate(model string, size int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ratio, ok := t.ratios[model]
	if !ok {
		ratio = initialBytesPerToken
	}
	return int(float64(size)/ratio) + 1
}

// observe corrects the ratio of a model by one usage figure.
func (t *tokenRatio) observe(model string, size, tokens int) {
	if tokens < minObservedTokens || size <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ratio, ok := t.ratios[model]
	if !ok {
		ratio = initialBytesPerToken
	}
	t.ratios[model] = ratio + ratioGain*(float64(size)/float64(tokens)-ratio)
}
