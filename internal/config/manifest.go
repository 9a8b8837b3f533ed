// Package config maintains the configuration in force on a node: it watches the
// platform, distributes revisions between nodes and applies operators' changes.
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

// Keys and key prefixes in the platform's store under which the configuration is
// kept.
const (
	ManifestKey   = "config/manifest"
	PartPrefix    = "config/part/"
	HistoryPrefix = "config/history/"
)

// MaxPartSize is the maximum size of a part, in bytes.
const MaxPartSize = 256 << 10

// HistorySize is how many manifests before the current one are kept.
const HistorySize = 20

// Part describes one part of a configuration. The content is stored under
// PartPrefix and the hash.
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
	// Attempt is a random identifier of the Apply call that wrote the
	// manifest. After a lost reply it distinguishes the operator's own write
	// from that of another operator.
	Attempt string `json:"attempt"`
	// Parts describes each part, by part name.
	Parts map[string]Part `json:"parts"`
}

// Snapshot is a validated configuration. It must not be modified.
type Snapshot struct {
	Manifest Manifest
	// Contents holds the contents of the parts, by hash.
	Contents map[string][]byte
	Document *confd.Document
}

// JoinFunc builds the document from the contents of the parts, by part name. If it
// returns an error, the configuration is refused.
type JoinFunc func(m Manifest, contentsByName map[string][]byte) (*confd.Document, error)

// storedManifest is the value of ManifestKey.
type storedManifest struct {
	Manifest
	// GarbageCollections counts how often a garbage collection has rewritten
	// this value. Each rewrite raises the revision of ManifestKey in the
	// platform's store, so that an Apply in progress fails to replace the
	// manifest and starts over. Manifest.Revision stays the same.
	GarbageCollections uint64 `json:"collections,omitempty"`
}

// HashOf returns the hash of a part's content, under which the content is stored.
func HashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", HistoryPrefix, revision)
}

func decodeManifest(value []byte) (storedManifest, error) {
	var s storedManifest
	if err := json.Unmarshal(value, &s); err != nil {
		return s, fault.Wrap(fault.Invalid, err, "malformed manifest")
	}
	return s, nil
}

// verify checks the size and hash of a part's content.
func (p Part) verify(name string, content []byte) error {
	if len(content) != p.Size || HashOf(content) != p.Hash {
		return fault.New(fault.Invalid, "content of part %q does not match its size and hash", name)
	}
	return nil
}
