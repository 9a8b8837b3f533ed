package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Mix is a distribution of prompt lengths.
type Mix []WeightedLength

// WeightedLength is a prompt length in tokens and its weight in a mix.
type WeightedLength struct {
	Tokens int
	Weight float64
}

// ParseMix parses a mix such as "1k:80,16k:15,1M:5", in which k is 1,000 and M is
// 1,000,000 tokens. A length without a weight has weight 1.
func ParseMix(text string) (Mix, error) {
	var mix Mix
	for item := range strings.SplitSeq(text, ",") {
		size, weight, ok := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := ParseTokens(size)
		if err != nil {
			return nil, err
		}
		length := WeightedLength{Tokens: tokens, Weight: 1}
		if ok {
			if length.Weight, err = strconv.ParseFloat(weight, 64); err != nil || length.Weight < 0 {
				return nil, fmt.Errorf("weight %q is not valid", weight)
			}
		}
		mix = append(mix, length)
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
	for _, l := range m {
		total += l.Weight
	}
	point := rng.Float64() * total
	for _, l := range m {
		if point -= l.Weight; point < 0 {
			return l.Tokens
		}
	}
	return m[len(m)-1].Tokens
}

// bin is a range of prompt lengths. limit is its highest length in tokens.
type bin struct {
	name  string
	limit int
}

// bins are the ranges of prompt lengths for which the time to first token is
// reported. Longer prompts count in the last bin.
var bins = []bin{
	{"1k", 1000},
	{"4k", 4000},
	{"16k", 16_000},
	{"64k", 64_000},
	{"256k", 256_000},
	{"1M", 1_000_000},
}

// binOf returns the index in bins of a prompt length.
func binOf(tokens int) int {
	for i, b := range bins {
		if tokens <= b.limit {
			return i
		}
	}
	return len(bins) - 1
}
