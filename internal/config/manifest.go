// Package config keeps the configuration in force on a node: it watches the
// platform, spreads revisions between nodes and applies operators' changes.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// The platform keys of the configuration.
const (
	ManifestKey   = "config/manifest"
	PartPrefix    = "config/part/"
	HistoryPrefix = "config/history/"
)

// MaxPartSize is the largest part, in bytes.
const MaxPartSize = 256 << 10

// HistorySize is how many manifests before the current one are kept.
const HistorySize = 20

// Part refers to the content of one part.
type Part struct {
	// Hash is the SHA-256 of the content as 64 hexadecimal digits.
	Hash string `json:"hash"`
	// Size is the length of the content in bytes.
	Size int `json:"size"`
}

// Manifest lists the parts of one revision of the configuration.
type Manifest struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Attempt is a random identifier of the Apply call that wrote it. It
	// tells an operator's own write from another's after a lost reply.
	Attempt string          `json:"attempt"`
	Parts   map[string]Part `json:"parts"`
}

// Snapshot is a configuration that was accepted. It must not be modified.
type Snapshot struct {
	Manifest Manifest
	// Parts holds the content by hash.
	Parts    map[string][]byte
	Document *confd.Document
}

// JoinFunc builds the document from the contents of the parts by name. An
// error refuses the configuration.
type JoinFunc func(m Manifest, parts map[string][]byte) (*confd.Document, error)

// stored is the value of ManifestKey.
type stored struct {
	Manifest
	// Collections counts runs of the garbage collection. It changes the key's
	// revision, so that an Apply in progress notices.
	Collections uint64 `json:"collections,omitempty"`
}

// HashOf returns the hash by which a part is addressed.
func HashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", HistoryPrefix, revision)
}

func decode(value []byte) (stored, error) {
	var s stored
	if err := json.Unmarshal(value, &s); err != nil {
		return s, fault.Wrap(fault.Invalid, err, "malformed manifest")
	}
	return s, nil
}

// verify checks that the content is what the part refers to.
func (p Part) verify(name string, content []byte) error {
	if len(content) != p.Size || HashOf(content) != p.Hash {
		return fault.New(fault.Invalid, "content of part %q does not match its hash", name)
	}
	return nil
}
