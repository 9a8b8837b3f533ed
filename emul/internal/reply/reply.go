// Package reply defines the text that the engine stand-in generates. Tests and the
// load tool use the package to compute the expected answer to a prompt.
//
// A prompt token is BytesPerToken bytes of a prompt. An answer token is a longer text,
// which Source describes.
package reply

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the number of prompt bytes that count as one prompt token.
const BytesPerToken = 4

// hashDigits is the number of hexadecimal digits in an answer token.
const hashDigits = 8

// tokenOverhead is the length of an answer token without its number: two brackets, a
// colon and the hash.
const tokenOverhead = 3 + hashDigits

// maxTokenLength is the maximum length of an answer token, whose number has at most
// ten digits.
const maxTokenLength = tokenOverhead + 10

// Tokens returns the number of prompt tokens in size bytes, rounded up.
func Tokens(size int) int { return (size + BytesPerToken - 1) / BytesPerToken }

// Source generates the answer to one prompt.
//
// A prompt may end with the first n answer tokens to the text before them. That text is
// called the base; without such answer tokens, n is 0 and the base is the whole prompt.
// The answer to the prompt is the answer to the base from answer token n on: it
// continues the prompt, as the answer of a deterministic model would.
//
// Answer token i to a base has the form "[i:hhhhhhhh]", where i counts from 0. The eight
// hexadecimal digits are the low 32 bits of the xxhash64 of two little-endian 64-bit
// integers: the xxhash64 of the base, and i.
type Source struct {
	seed  uint64 // xxhash64 of the base
	start int    // number of answer tokens in the prompt
}

// NewSource returns the source for a prompt.
func NewSource(prompt string) Source {
	base, start := splitAnswer(prompt)
	return Source{seed: xxhash.Sum64String(base), start: start}
}

// Token returns the answer token at offset after the prompt, where 0 is the first one.
func (s Source) Token(offset int) string { return token(s.seed, s.start+offset) }

// Text returns the first count answer tokens after the prompt as one string.
func (s Source) Text(count int) string { return text(s.seed, s.start, count) }

// text returns the count answer tokens from number start on.
func text(seed uint64, start, count int) string {
	var b strings.Builder
	b.Grow(count * (tokenOverhead + 4)) // room for numbers of four digits
	for i := range count {
		b.WriteString(token(seed, start+i))
	}
	return b.String()
}

// token returns an answer token by its number, counted from the start of the answer to
// the base.
func token(seed uint64, number int) string {
	var in [16]byte
	binary.LittleEndian.PutUint64(in[:8], seed)
	binary.LittleEndian.PutUint64(in[8:], uint64(number))
	digits := strconv.FormatUint(xxhash.Sum64(in[:])&0xffffffff, 16)
	pad := strings.Repeat("0", hashDigits-len(digits))
	return "[" + strconv.Itoa(number) + ":" + pad + digits + "]"
}

// splitAnswer returns the base of a prompt and the number of answer tokens that follow
// it in the prompt.
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
