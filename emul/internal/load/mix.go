package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Mix is a mix of prompt lengths.
type Mix []Share

// Share is a prompt length in tokens and its weight in a mix.
type Share struct {
	Tokens int
	Weight float64
}

// ParseMix parses a mix such as "1k:80,16k:15,1M:5", with k for 1,000 and M for
// 1,000,000 tokens.
func ParseMix(text string) (Mix, error) {
	var mix Mix
	for item := range strings.SplitSeq(text, ",") {
		size, weight, ok := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := ParseTokens(size)
		if err != nil {
			return nil, err
		}
		share := Share{Tokens: tokens, Weight: 1}
		if ok {
			if share.Weight, err = strconv.ParseFloat(weight, 64); err != nil || share.Weight < 0 {
				return nil, fmt.Errorf("weight %q is not valid", weight)
			}
		}
		mix = append(mix, share)
	}
	return mix, nil
}

// ParseTokens parses a number of tokens such as 500, 16k or 1M.
func ParseTokens(text string) (int, error) {
	factor := 1
	switch {
	case strings.HasSuffix(text, "k"):
		factor = 1000
	case strings.HasSuffix(text, "M"):
		factor = 1_000_000
	}
	n, err := strconv.ParseFloat(strings.TrimRight(text, "kM"), 64)
	if err != nil || n <= 0 {
		return 0, fmt.Errorf("%q is not a number of tokens", text)
	}
	return int(n * float64(factor)), nil
}

// pick returns a length at random, in proportion to the weights.
func (m Mix) pick(rng *rand.Rand) int {
	total := 0.0
	for _, s := range m {
		total += s.Weight
	}
	at := rng.Float64() * total
	for _, s := range m {
		if at -= s.Weight; at < 0 {
			return s.Tokens
		}
	}
	return m[len(m)-1].Tokens
}

// bin is a range of prompt lengths with an upper limit in tokens.
type bin struct {
	name  string
	limit int
}

// bins are the ranges of the first token measure; longer prompts count in the
// last one.
var bins = []bin{
	{"1k", 1000},
	{"4k", 4000},
	{"16k", 16_000},
	{"64k", 64_000},
	{"256k", 256_000},
	{"1M", 1_000_000},
}

func binOf(tokens int) int {
	for i, b := range bins {
		if tokens <= b.limit {
			return i
		}
	}
	return len(bins) - 1
}
