package poison

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Fingerprint identifies a prompt that an organisation sends to a model, without
// containing any part of the prompt.
type Fingerprint [16]byte

// NewFingerprint returns the first 16 bytes of the SHA-256 of the three parts,
// each ended by a zero byte.
func NewFingerprint(organisation, model, prompt string) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{organisation, model, prompt} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return Fingerprint(hash.Sum(nil)[:16])
}

// ParseFingerprint reads the 32 hexadecimal digits of a fingerprint.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	err := f.UnmarshalText([]byte(text))
	return f, err
}

// String returns the fingerprint as 32 hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(f) {
		return fault.New(fault.Invalid, "a fingerprint has 32 hexadecimal digits")
	}
	*f = Fingerprint(raw)
	return nil
}

// shardCount is the number of platform keys that the records are distributed
// over. It must be the same on all nodes.
const shardCount = 16

func (f Fingerprint) shard() int { return int(f[0]) % shardCount }

// dispatchHash returns the hash that identifies a dispatch in records.
func dispatchHash(dispatch string) uint64 { return xxhash.Sum64String(dispatch) }
