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
		s.applyEngineDefaults(func(key string) bool { return source.Has("services", service, key) })
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
	data, err := json.MarshalIndent(doc, "", "  ")
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

// Prefill sets the defaults that hold for every kind of service.
func (s *Service) Prefill() {
	s.TimeLimit = DefaultTimeLimit
	s.MaxTimeLimit = DefaultMaxTimeLimit
	s.RetryRatio = DefaultRetryRatio
}

// Prefill sets the defaults of an organisation.
func (o *Organisation) Prefill() {
	o.Weight = DefaultWeight
	o.Keys = []string{}
}

// applyEngineDefaults sets the keys that only engine services have.
func (s *Service) applyEngineDefaults(has func(key string) bool) {
	if s.Kind != KindEngine {
		return
	}
	if !has("short_prompt_tokens") {
		s.ShortPromptTokens = DefaultShortPromptTokens
	}
	if !has("weights") {
		s.Weights = Weights{TimeToFirstToken: 1, HeadOfLineBlocking: 1}
	}
	if !has("fencing") {
		s.Fencing = FencingIgnored
	}
	if !has("quarantine_time") {
		s.QuarantineTime = DefaultQuarantineTime
	}
}
