package confd

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/verbenapier/verbenapier/pkg/confd/strict"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Parse reads a document in JSON with comments, applies the defaults and
// validates it. The name is that of the input in error messages. Errors are
// Invalid and wrap strict.Problems, which lists every problem with its line.
func Parse(name string, data []byte) (*Document, error) {
	source, err := strict.Read(name, data)
	if err != nil {
		return nil, err
	}
	doc := &Document{}
	source.Decode(doc, rules())
	for service, s := range doc.Services {
		s.applyKindDefaults(func(key string) bool { return source.Has("services", service, key) })
		doc.Services[service] = s
	}
	if doc.Models == nil && !source.Has("models") {
		doc.Models = map[string]Model{}
	}
	check(source, doc)
	if err := source.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Validate checks a document that was built in Go. Errors are those of Parse,
// without lines.
func Validate(doc *Document) error {
	source := strict.New("document")
	check(source, doc)
	return source.Err()
}

// Format returns the document as indented JSON with sorted names.
func Format(doc *Document) ([]byte, error) {
	out := *doc
	out.Services = copyMap(doc.Services)
	out.Organisations = copyMap(doc.Organisations)
	for name, o := range out.Organisations {
		out.Organisations[name] = o.withKeyList()
	}
	data, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "format the document")
	}
	return append(data, '\n'), nil
}

// KeyHash returns the hash under which an organisation lists an API key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// SetDefaults sets the defaults of the keys that every kind of service has. It
// also sets those of both weights, because a document may set only one of them.
func (s *Service) SetDefaults() {
	s.Weights = Weights{TimeToFirstToken: 1, HeadOfLineBlocking: 1}
	s.TimeLimit = DefaultTimeLimit
	s.MaxTimeLimit = DefaultMaxTimeLimit
	s.RetryRatio = DefaultRetryRatio
}

// SetDefaults sets the defaults of an organisation.
func (o *Organisation) SetDefaults() {
	o.Weight = DefaultWeight
	o.Keys = []string{}
}

// applyKindDefaults sets the defaults of the keys that only engine services
// have. In other services it clears the weights that SetDefaults set. The
// function has reports whether the input holds a key of the service.
func (s *Service) applyKindDefaults(has func(key string) bool) {
	if s.Kind != KindEngine {
		if !has("weights") {
			s.Weights = Weights{}
		}
		return
	}
	if !has("short_prompt_tokens") {
		s.ShortPromptTokens = DefaultShortPromptTokens
	}
	if !has("fencing") {
		s.Fencing = FencingIgnored
	}
	if !has("quarantine_time") {
		s.QuarantineTime = DefaultQuarantineTime
	}
}

// withKeyList returns the organisation with an empty list of keys in place of
// nil, which would be encoded as null and refused by Parse.
func (o Organisation) withKeyList() Organisation {
	if o.Keys == nil {
		o.Keys = []string{}
	}
	return o
}
