package entry

import "sync"

const (
	// initialBytesPerToken is the ratio assumed for a model until an engine
	// has reported token usage.
	initialBytesPerToken = 4.0
	// reportWeight is the weight of a new usage report in the moving average of
	// the ratio.
	reportWeight = 0.05
	// minObservedTokens is the minimum length of a prompt whose usage report
	// corrects the ratio. A fixed overhead dominates the ratio of shorter
	// prompts.
	minObservedTokens = 64
)

// tokenEstimator estimates the token count of prompts from their size. It
// keeps a ratio of bytes per token for each model and corrects it by the usage
// that engines report.
type tokenEstimator struct {
	mu            sync.Mutex
	bytesPerToken map[string]float64
}

func newTokenEstimator() *tokenEstimator {
	return &tokenEstimator{bytesPerToken: map[string]float64{}}
}

// estimate returns the estimated token count of a prompt of size bytes.
func (t *tokenEstimator) estimate(model string, size int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ratio, ok := t.bytesPerToken[model]
	if !ok {
		ratio = initialBytesPerToken
	}
	return int(float64(size)/ratio) + 1
}

// observe corrects the ratio of a model by one usage report.
func (t *tokenEstimator) observe(model string, size, tokens int) {
	if tokens < minObservedTokens || size <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ratio, ok := t.bytesPerToken[model]
	if !ok {
		ratio = initialBytesPerToken
	}
	t.bytesPerToken[model] = ratio + reportWeight*(float64(size)/float64(tokens)-ratio)
}
