package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// minPrefixSize is the length of the shortest prefix that is hashed, in bytes.
const minPrefixSize = 4 << 10

// cacheScope returns the opaque name under which engines cache the prefixes of
// an organisation. It separates organisations in the prefix cache without
// revealing their names to engines.
func cacheScope(organisation string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String("scope\x00"+organisation))
}

// prefixHashes returns the hashes of the prompt's prefixes of 4 KiB, 8 KiB, 16
// KiB and so on.
func prefixHashes(scope, prompt string) []string {
	var hashes []string
	digest := xxhash.New()
	_, _ = digest.WriteString(scope)
	_, _ = digest.Write([]byte{0})
	hashed := 0
	for size := minPrefixSize; size <= len(prompt); size *= 2 {
		_, _ = digest.WriteString(prompt[hashed:size])
		hashed = size
		hashes = append(hashes, fmt.Sprintf("%016x", digest.Sum64()))
	}
	return hashes
}

// rankKey returns the key by which cells are ranked. It depends on the
// organisation and the first 4 KiB of the prompt, so that prompts of an
// organisation with the same beginning prefer the same cells.
func rankKey(scope, prompt string) string {
	first := prompt[:min(len(prompt), minPrefixSize)]
	return fmt.Sprintf("%s/%016x", scope, xxhash.Sum64String(first))
}

// fingerprintOf returns a hash that identifies a prompt of an organisation for
// a model.
func fingerprintOf(organisation, model, prompt string) string {
	hash := sha256.New()
	for _, part := range []string{organisation, model, prompt} {
		_, _ = fmt.Fprintf(hash, "%d:", len(part))
		_, _ = hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
