package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// prefixUnit is the length of the shortest hashed prefix, in bytes.
const prefixUnit = 4 << 10

// cacheScope returns the opaque cache scope of an organisation on engines. It
// keeps organisations apart in the prefix cache without telling engines their
// names.
func cacheScope(organisation string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String("scope\x00"+organisation))
}

// prefixHashes returns the hashes of the prompt's prefixes of 4 KiB, 8 KiB and
// so on, doubling.
func prefixHashes(scope, prompt string) []string {
	var hashes []string
	digest := xxhash.New()
	_, _ = digest.WriteString(scope)
	_, _ = digest.Write([]byte{0})
	done := 0
	for size := prefixUnit; size <= len(prompt); size *= 2 {
		_, _ = digest.WriteString(prompt[done:size])
		done = size
		hashes = append(hashes, fmt.Sprintf("%016x", digest.Sum64()))
	}
	return hashes
}

// rankKey returns the key by which cells are ranked: the organisation with the
// first block of the prompt, so that prompts with the same beginning meet.
func rankKey(scope, prompt string) string {
	first := prompt[:min(len(prompt), prefixUnit)]
	return fmt.Sprintf("%s/%016x", scope, xxhash.Sum64String(first))
}

// fingerprintOf identifies a prompt of an organisation for a model.
func fingerprintOf(organisation, model, prompt string) string {
	hash := sha256.New()
	for _, part := range []string{organisation, model, prompt} {
		_, _ = fmt.Fprintf(hash, "%d:", len(part))
		_, _ = hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
