package confd

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/verbenapier/verbenapier/pkg/confd/strict"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Parse reads a document in JSON with comments, applies the defaults and
// validates it. The name appears in errors. Errors are Invalid and wrap
// strict.Problems, which lists every problem with its line.
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

// Validate checks a document made by code. Errors are those of Parse, without
// lines.
func Validate(doc *Document) error {
	source := strict.New("document")
	check(source, doc)
	return source.Err()
}

// Format returns the document as indented JSON with its keys in order.
func Format(doc *Document) ([]byte, error) {
	out := *doc
	out.Services = copyMap(doc.Services)
	out.Organisations = copyMap(doc.Organisations)
	for name, o := range out.Organisations {
		out.Organisations[name] = o.complete()
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

// Prefill sets the defaults of keys that every kind of service has, and those
// of the weights, of which a document may give only one.
func (s *Service) Prefill() {
	s.Weights = Weights{TimeToFirstToken: 1, HeadOfLineBlocking: 1}
	s.TimeLimit = DefaultTimeLimit
	s.MaxTimeLimit = DefaultMaxTimeLimit
	s.RetryRatio = DefaultRetryRatio
}

// Prefill sets the defaults of an organisation.
func (o *Organisation) Prefill() {
	o.Weight = DefaultWeight
	o.Keys = []string{}
}

// applyKindDefaults sets the keys that only engine services have, and clears
// prefilled ones in other services.
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

// complete returns the organisation with an empty list in place of none, as
// the document requires a list.
func (o Organisation) complete() Organisation {
	if o.Keys == nil {
		o.Keys = []string{}
	}
	return o
}
