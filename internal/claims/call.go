package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Call is a non-idempotent call that a dispatcher wants to run. A dispatcher is the
// node that sends a call to an upstream.
type Call struct {
	Service      string
	Organisation string
	// Key is the caller's Idempotency-Key, a UUIDv7.
	Key string
	// Digest identifies the request: method, path and body. A resend must have
	// the same digest.
	Digest [sha256.Size]byte
	// Window is the service's idempotency window.
	Window time.Duration
	// Attempt is the number of the dispatcher's attempt at this call. It is
	// stored in the record for operators and affects no decision.
	Attempt int
}

// identity is the truncated hash of a call's organisation and key. Hashing both
// prevents an organisation from using the keys of another or finding out whether
// they exist.
type identity [16]byte

// identify checks the key against the window and the clock skew and returns
// the identity and the time in the key, in Unix milliseconds.
//
// A key whose time is more than two skews ahead is Invalid, which states that
// the call was not run: a node whose clock is ahead by the skew would reject the
// key as well. A key that is between one and two skews ahead is KeyExpired,
// which does not state whether the call was run: such a node may have accepted
// the key.
func (c Call) identify(now time.Time, skew time.Duration) (identity, int64, error) {
	if c.Service == "" || c.Window <= 0 {
		return identity{}, 0, fault.New(fault.Invalid, "the call has no service or the service has no idempotency window")
	}
	key, err := uuid.Parse(c.Key)
	if err != nil || key.Version() != 7 || key.Variant() != uuid.RFC4122 || len(c.Key) != 36 {
		return identity{}, 0, fault.New(fault.Invalid, "the idempotency key is not a UUIDv7")
	}
	var padded [8]byte
	copy(padded[2:], key[:6])
	keyTime := int64(binary.BigEndian.Uint64(padded[:]))
	switch age := now.Sub(time.UnixMilli(keyTime)); {
	case age > c.Window:
		return identity{}, 0, errExpired()
	case age < -2*skew:
		return identity{}, 0, fault.New(fault.Invalid, "the time of the idempotency key is in the future")
	case age < -skew:
		return identity{}, 0, fault.New(fault.KeyExpired, "the time of the idempotency key is in the future")
	}
	hash := sha256.New()
	hash.Write([]byte(c.Organisation))
	hash.Write([]byte{0})
	hash.Write(key[:])
	return identity(hash.Sum(nil)[:16]), keyTime, nil
}

func errExpired() error {
	return fault.New(fault.KeyExpired, "the idempotency key is older than the window")
}

// shard returns the identity's shard among a number of shards.
func (id identity) shard(shards int) int {
	return int(binary.BigEndian.Uint32(id[:4]) % uint32(shards))
}
