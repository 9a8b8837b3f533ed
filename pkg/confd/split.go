package confd

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// MaxPartSize is the maximum size of a part of a valid document, in bytes.
const MaxPartSize = 256 << 10

// A bucket holds the entries whose name hashes start with the same bits.
const (
	// minOrganisationBits is the minimum number of these bits for organisations;
	// 8 bits give 256 buckets. With 19,000 organisations, 256 buckets balance the
	// size of the manifest, which lists every bucket, against the size of the
	// bucket that a change replaces.
	minOrganisationBits = 8
	// minOtherBits is the minimum number of these bits for services and models.
	minOtherBits = 0
	// hashBits is the length of a name hash in bits.
	hashBits = 64
)

// Names of the groups of parts.
const (
	groupServices      = "services"
	groupModels        = "models"
	groupOrganisations = "organisations"
)

// Split returns the parts of the document by part name. Each part has at most
// MaxPartSize bytes if the document is valid. Equal documents have equal parts.
// Each part holds one bucket of a group: the entries whose name hashes start with
// the same bits. A bucket that is too large is divided in two. A change of one
// entry therefore replaces one part, unless the change causes a bucket to be
// divided or two buckets to be merged.
func Split(doc *Document) map[string][]byte {
	parts := map[string][]byte{}
	addBuckets(parts, groupServices, minOtherBits, encodeEntries(doc.Services, func(s Service) any { return s }))
	addBuckets(parts, groupModels, minOtherBits, encodeEntries(doc.Models, func(m Model) any { return m }))
	addBuckets(parts, groupOrganisations, minOrganisationBits, encodeEntries(doc.Organisations, func(o Organisation) any { return o.withKeyList() }))
	return parts
}

// encodedEntry is an entry of a group, encoded for a part.
type encodedEntry struct {
	// hash holds the first hashBits bits of the SHA-256 of the entry's name.
	hash uint64
	// text is the entry as a JSON member.
	text []byte
}

// encodeEntries returns the entries in the order of their names.
func encodeEntries[E any](entries map[string]E, value func(E) any) []encodedEntry {
	out := make([]encodedEntry, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		// Encoding does not fail: an entry consists of strings, booleans,
		// numbers and lists, and Validate refuses numbers that JSON cannot
		// represent.
		key, _ := json.Marshal(name)
		text, _ := json.Marshal(value(entries[name]))
		sum := sha256.Sum256([]byte(name))
		out = append(out, encodedEntry{hash: binary.BigEndian.Uint64(sum[:]), text: slices.Concat(key, []byte(":"), text)})
	}
	return out
}

// addBuckets adds the entries of a bucket to parts. The digits after the slash
// in name are the hash bits that the entries share. A bucket with fewer than
// minBits bits, or too large for a part, is divided in two by the next bit.
func addBuckets(parts map[string][]byte, name string, minBits int, entries []encodedEntry) {
	if len(entries) == 0 {
		return
	}
	_, digits, _ := strings.Cut(name, "/")
	size := 1 + len(entries)
	for _, e := range entries {
		size += len(e.text)
	}
	depth := len(digits)
	if depth >= minBits && (size <= MaxPartSize || len(entries) == 1 || depth == hashBits) {
		parts[name] = encodePart(entries, size)
		return
	}
	var halves [2][]encodedEntry
	for _, e := range entries {
		bit := e.hash >> (hashBits - 1 - depth) & 1
		halves[bit] = append(halves[bit], e)
	}
	if depth == 0 {
		name += "/"
	}
	addBuckets(parts, name+"0", minBits, halves[0])
	addBuckets(parts, name+"1", minBits, halves[1])
}

// encodePart returns the entries as a JSON object of size bytes.
func encodePart(entries []encodedEntry, size int) []byte {
	var b bytes.Buffer
	b.Grow(size)
	b.WriteByte('{')
	for i, e := range entries {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(e.text)
	}
	b.WriteByte('}')
	return b.Bytes()
}

// Join builds a document from the parts that Split made. It ignores unknown
// keys and sets absent ones to their defaults, so that a daemon can read parts
// that a daemon one version older or newer has written. It does not validate the
// document. An unknown group, an entry in two parts and malformed JSON are
// Invalid errors.
func Join(parts map[string][]byte) (*Document, error) {
	return Patch(&Document{}, nil, parts)
}

// Patch returns the document that consists of the parts in after. It starts from
// doc, which must be the document that consists of the parts in before, and
// decodes only the parts that differ. It leaves doc unchanged; the two documents
// share their lists. Errors are those of Join.
func Patch(doc *Document, before, after map[string][]byte) (*Document, error) {
	out := &Document{
		Services:      copyMap(doc.Services),
		Models:        copyMap(doc.Models),
		Organisations: copyMap(doc.Organisations),
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if part, ok := after[name]; ok && bytes.Equal(part, before[name]) {
			continue
		}
		var entries map[string]json.RawMessage
		if err := json.Unmarshal(before[name], &entries); err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "part %q", name)
		}
		for entry := range entries {
			out.removeEntry(name, entry)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if part, ok := before[name]; ok && bytes.Equal(part, after[name]) {
			continue
		}
		if err := out.addPart(name, after[name]); err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "part %q", name)
		}
	}
	return out, nil
}

// copyMap returns a shallow copy of a map; for nil, an empty map.
func copyMap[E any](m map[string]E) map[string]E {
	if m == nil {
		return map[string]E{}
	}
	return maps.Clone(m)
}

// groupOf returns the group that a part belongs to.
func groupOf(part string) string {
	group, _, _ := strings.Cut(part, "/")
	return group
}

// removeEntry removes an entry that the part holds.
func (doc *Document) removeEntry(part, entry string) {
	switch groupOf(part) {
	case groupServices:
		delete(doc.Services, entry)
	case groupModels:
		delete(doc.Models, entry)
	case groupOrganisations:
		delete(doc.Organisations, entry)
	}
}

// addPart adds the entries of a part to the document.
func (doc *Document) addPart(part string, data []byte) error {
	switch groupOf(part) {
	case groupServices:
		return addEntries(doc.Services, data, func(s *Service, has func(string) bool) { s.applyKindDefaults(has) })
	case groupModels:
		return addEntries(doc.Models, data, nil)
	case groupOrganisations:
		return addEntries(doc.Organisations, data, nil)
	}
	return fault.New(fault.Invalid, "it belongs to no known group")
}

// addEntries decodes a part and adds its entries to the map. The function
// setKindDefaults may be nil; it is called with each decoded entry and a
// function that reports whether the part sets a key of that entry.
func addEntries[E any](entries map[string]E, data []byte, setKindDefaults func(e *E, has func(string) bool)) error {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	for name, text := range raw {
		if _, ok := entries[name]; ok {
			return fault.New(fault.Invalid, "entry %q is in two parts", name)
		}
		var e E
		if p, ok := any(&e).(interface{ SetDefaults() }); ok {
			p.SetDefaults()
		}
		if err := json.Unmarshal(text, &e); err != nil {
			return err
		}
		if setKindDefaults != nil {
			var keys map[string]json.RawMessage
			if err := json.Unmarshal(text, &keys); err != nil {
				return err
			}
			setKindDefaults(&e, func(key string) bool { return keys[key] != nil })
		}
		entries[name] = e
	}
	return nil
}
