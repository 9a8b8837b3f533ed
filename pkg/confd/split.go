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

// MaxPartSize is the largest part of a valid document, in bytes.
const MaxPartSize = 256 << 10

// Number of hash bits that name a bucket of entries that fits. At 19,000
// organisations 256 buckets balance the manifest, which lists every bucket,
// against the bucket that a change replaces.
const (
	organisationBits = 8
	otherBits        = 0
	maxBits          = 64
)

// Names of the groups of parts.
const (
	groupServices      = "services"
	groupModels        = "models"
	groupOrganisations = "organisations"
)

// Split returns the document in parts of at most MaxPartSize, by name. Equal
// documents have equal parts. A part holds the entries of a group whose name
// hashes start with the same bits. A bucket that is too large is divided in
// two, so a change of one entry replaces one part unless its bucket divides or
// unites.
func Split(doc *Document) map[string][]byte {
	parts := map[string][]byte{}
	bucket(parts, groupServices, otherBits, items(doc.Services, func(s Service) any { return s }))
	bucket(parts, groupModels, otherBits, items(doc.Models, func(m Model) any { return m }))
	bucket(parts, groupOrganisations, organisationBits, items(doc.Organisations, func(o Organisation) any { return o.complete() }))
	return parts
}

// item is an entry of a group as it appears in a part.
type item struct {
	hash uint64
	// text is the entry as a JSON member.
	text []byte
}

// items returns the entries in the order of their names.
func items[E any](entries map[string]E, value func(E) any) []item {
	out := make([]item, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		// Strings, numbers and lists of them always encode; a number that
		// does not is refused by Validate.
		key, _ := json.Marshal(name)
		text, _ := json.Marshal(value(entries[name]))
		sum := sha256.Sum256([]byte(name))
		out = append(out, item{hash: binary.BigEndian.Uint64(sum[:]), text: slices.Concat(key, []byte(":"), text)})
	}
	return out
}

// bucket stores the items, which share the hash bits that the digits after
// the slash in name spell, in one part, or in two buckets while more bits are
// wanted or the part is too large.
func bucket(parts map[string][]byte, name string, wanted int, members []item) {
	if len(members) == 0 {
		return
	}
	_, digits, _ := strings.Cut(name, "/")
	size := 1 + len(members)
	for _, m := range members {
		size += len(m.text)
	}
	depth := len(digits)
	if depth >= wanted && (size <= MaxPartSize || len(members) == 1 || depth == maxBits) {
		parts[name] = encode(members, size)
		return
	}
	var halves [2][]item
	for _, m := range members {
		bit := m.hash >> (maxBits - 1 - depth) & 1
		halves[bit] = append(halves[bit], m)
	}
	if depth == 0 {
		name += "/"
	}
	bucket(parts, name+"0", wanted, halves[0])
	bucket(parts, name+"1", wanted, halves[1])
}

func encode(members []item, size int) []byte {
	var b bytes.Buffer
	b.Grow(size)
	b.WriteByte('{')
	for i, m := range members {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(m.text)
	}
	b.WriteByte('}')
	return b.Bytes()
}

// Join builds a document from the parts that Split made. It ignores unknown
// keys and fills absent ones with defaults, so that daemons of neighbouring
// versions read each other's parts, and does not validate. An unknown group,
// an entry in two parts and malformed JSON are Invalid.
func Join(parts map[string][]byte) (*Document, error) {
	return Patch(&Document{}, nil, parts)
}

// Patch returns the document of the parts after, given the document of the
// parts before. It decodes only parts that differ and leaves doc unchanged;
// the two documents share their lists. Errors are those of Join.
func Patch(doc *Document, before, after map[string][]byte) (*Document, error) {
	out := &Document{
		Services:      copyMap(doc.Services),
		Models:        copyMap(doc.Models),
		Organisations: copyMap(doc.Organisations),
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if part, kept := after[name]; kept && bytes.Equal(part, before[name]) {
			continue
		}
		var names map[string]json.RawMessage
		if err := json.Unmarshal(before[name], &names); err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "part %q", name)
		}
		for entry := range names {
			out.remove(name, entry)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if part, had := before[name]; had && bytes.Equal(part, after[name]) {
			continue
		}
		if err := out.add(name, after[name]); err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "part %q", name)
		}
	}
	return out, nil
}

func copyMap[E any](m map[string]E) map[string]E {
	if m == nil {
		return map[string]E{}
	}
	return maps.Clone(m)
}

func groupOf(part string) string {
	group, _, _ := strings.Cut(part, "/")
	return group
}

func (doc *Document) remove(part, entry string) {
	switch groupOf(part) {
	case groupServices:
		delete(doc.Services, entry)
	case groupModels:
		delete(doc.Models, entry)
	case groupOrganisations:
		delete(doc.Organisations, entry)
	}
}

func (doc *Document) add(part string, data []byte) error {
	switch groupOf(part) {
	case groupServices:
		return join(doc.Services, data, func(s *Service, has func(string) bool) { s.applyKindDefaults(has) })
	case groupModels:
		return join(doc.Models, data, nil)
	case groupOrganisations:
		return join(doc.Organisations, data, nil)
	}
	return fault.New(fault.Invalid, "it belongs to no known group")
}

// join adds the entries of a part. The function finish receives an entry and
// a test for the keys it holds.
func join[E any](into map[string]E, data []byte, finish func(e *E, has func(string) bool)) error {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	for name, text := range raw {
		if _, ok := into[name]; ok {
			return fault.New(fault.Invalid, "entry %q is in two parts", name)
		}
		var e E
		if p, ok := any(&e).(interface{ Prefill() }); ok {
			p.Prefill()
		}
		if err := json.Unmarshal(text, &e); err != nil {
			return err
		}
		if finish != nil {
			var keys map[string]json.RawMessage
			if err := json.Unmarshal(text, &keys); err != nil {
				return err
			}
			finish(&e, func(key string) bool { return keys[key] != nil })
		}
		into[name] = e
	}
	return nil
}
