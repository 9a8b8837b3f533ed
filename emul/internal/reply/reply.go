// Package reply defines the text that the engine stand-in generates. With it, a
// test can compute the expected answer to a prompt.
package reply

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the number of prompt bytes that count as one token.
const BytesPerToken = 4

// hashDigits is the number of hexadecimal digits in a token.
const hashDigits = 8

// tokenOverhead is the length of a token without its sequence number: two brackets,
// a colon and the hash.
const tokenOverhead = 3 + hashDigits

// maxTokenLength is the largest length of a token: tokenOverhead and ten digits.
const maxTokenLength = tokenOverhead + 10

// Tokens returns the number of tokens in a prompt of size bytes, rounded up.
func Tokens(size int) int { return (size + BytesPerToken - 1) / BytesPerToken }

// Source generates the answer to one prompt.
//
// Token i has the form "[i:hhhhhhhh]". The eight hexadecimal digits are the low
// 32 bits of the xxhash64 of two little-endian 64-bit integers: the xxhash64 of
// the prompt, and i. If a prompt ends with tokens 0 to n-1 of the answer to the
// part before them, the answer continues with token n, as that of a deterministic
// model would.
type Source struct {
	seed  uint64 // xxhash64 of the prompt without tokens of its answer
	start int    // number of the first token
}

// NewSource returns the source for a prompt.
func NewSource(prompt string) Source {
	base, start := splitAnswer(prompt)
	return Source{seed: xxhash.Sum64String(base), start: start}
}

// Token returns the text of the token at seq, counted from the end of the
// prompt.
func (s Source) Token(seq int) string { return token(s.seed, s.start+seq) }

// Text returns the first count tokens after the prompt as one string.
func (s Source) Text(count int) string { return text(s.seed, s.start, count) }

func text(seed uint64, start, count int) string {
	var b strings.Builder
	b.Grow(count * (tokenOverhead + 4))
	for i := range count {
		b.WriteString(token(seed, start+i))
	}
	return b.String()
}

func token(seed uint64, seq int) string {
	var in [16]byte
	binary.LittleEndian.PutUint64(in[:8], seed)
	binary.LittleEndian.PutUint64(in[8:], uint64(seq))
	digits := strconv.FormatUint(xxhash.Sum64(in[:])&0xffffffff, 16)
	pad := strings.Repeat("0", hashDigits-len(digits))
	return "[" + strconv.Itoa(seq) + ":" + pad + digits + "]"
}

// splitAnswer returns a prompt without the tokens of its own answer at its end, and
// the number of these tokens.
func splitAnswer(prompt string) (string, int) {
	tail := prompt[max(0, len(prompt)-maxTokenLength):]
	open := strings.LastIndexByte(tail, '[')
	colon := strings.LastIndexByte(tail, ':')
	if !strings.HasSuffix(tail, "]") || open < 0 || colon < open {
		return prompt, 0
	}
	last, err := strconv.Atoi(tail[open+1 : colon])
	if err != nil || last < 0 || last > len(prompt)/tokenOverhead {
		return prompt, 0
	}
	size := 0
	for i := range last + 1 {
		size += tokenOverhead + len(strconv.Itoa(i))
	}
	if size > len(prompt) {
		return prompt, 0
	}
	base := prompt[:len(prompt)-size]
	if text(xxhash.Sum64String(base), 0, last+1) != prompt[len(base):] {
		return prompt, 0
	}
	return base, last + 1
}
