package confd

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/invopop/jsonschema"
)

// durationPattern matches durations without a sign in the syntax of
// time.ParseDuration.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`

// Schema returns the JSON schema of the document. The schema describes types,
// ranges and the keys of each kind of service. Only Parse checks references
// between entries, such as from a service to a model.
func Schema() []byte {
	reflector := jsonschema.Reflector{
		Anonymous:      true,
		DoNotReference: true,
		Mapper: func(t reflect.Type) *jsonschema.Schema {
			if t == reflect.TypeFor[Duration]() {
				return &jsonschema.Schema{Type: "string", Pattern: durationPattern}
			}
			return nil
		},
	}
	root := reflector.Reflect(&Document{})
	root.Title = "verbenapier configuration"
	clearRequired(root)
	for _, f := range Fields() {
		applyField(root, f)
	}
	service := schemaAt(root, "services.*")
	service.AllOf = []*jsonschema.Schema{
		kindCondition(KindEngine, []string{"models"}, []string{"routes", "idempotency_window"}),
		kindCondition(KindPlain, []string{"routes"}, []string{"models", "short_prompt_tokens", "weights", "fencing", "quarantine_time"}),
	}
	schemaAt(root, "services.*.models").MinItems = ptr(uint64(1))
	schemaAt(root, "services.*.routes").MinItems = ptr(uint64(1))
	// The schema consists of strings, numbers and lists, which always encode.
	data, _ := json.MarshalIndent(root, "", "  ")
	return append(data, '\n')
}

func ptr[T any](v T) *T { return &v }

// kindCondition returns a schema that requires and forbids keys in services of
// one kind.
func kindCondition(kind ServiceKind, required, forbidden []string) *jsonschema.Schema {
	match := jsonschema.NewProperties()
	match.Set("kind", &jsonschema.Schema{Const: string(kind)})
	forbiddenKeys := jsonschema.NewProperties()
	for _, key := range forbidden {
		forbiddenKeys.Set(key, jsonschema.FalseSchema)
	}
	return &jsonschema.Schema{
		If:   &jsonschema.Schema{Properties: match, Required: []string{"kind"}},
		Then: &jsonschema.Schema{Required: required, Properties: forbiddenKeys},
	}
}

// clearRequired removes the required keys that the reflector derived from the
// struct tags. applyField sets them from Fields instead.
func clearRequired(s *jsonschema.Schema) {
	s.Required = nil
	if s.Properties != nil {
		for pair := s.Properties.Oldest(); pair != nil; pair = pair.Next() {
			clearRequired(pair.Value)
		}
	}
	for _, child := range []*jsonschema.Schema{s.Items, s.AdditionalProperties} {
		if child != nil && child.Type != "" {
			clearRequired(child)
		}
	}
}

// schemaAt returns the schema of the values at a path of Fields.
func schemaAt(s *jsonschema.Schema, path string) *jsonschema.Schema {
	for part := range strings.SplitSeq(path, ".") {
		switch {
		case part == "*" && s.Items != nil:
			s = s.Items
		case part == "*":
			s = s.AdditionalProperties
		default:
			s, _ = s.Properties.Get(part)
		}
	}
	return s
}

// applyField adds the rule, the default and the description of a field to the
// schema of the document.
func applyField(root *jsonschema.Schema, f Field) {
	s := schemaAt(root, f.Path)
	s.Description = f.Meaning
	s.Default = f.Default
	if f.Required {
		parent, key := root, f.Path
		if i := strings.LastIndexByte(f.Path, '.'); i >= 0 {
			parent, key = schemaAt(root, f.Path[:i]), f.Path[i+1:]
		}
		parent.Required = append(parent.Required, key)
	}
	r := f.Rule
	if r.Min != nil {
		if r.AboveMin {
			s.ExclusiveMinimum = decimal(*r.Min)
		} else {
			s.Minimum = decimal(*r.Min)
		}
		s.Maximum = decimal(*r.Max)
	}
	for _, value := range r.Enum {
		s.Enum = append(s.Enum, value)
	}
	if r.Pattern != "" && s.Type == "object" {
		s.PropertyNames = &jsonschema.Schema{Pattern: r.Pattern}
	} else if r.Pattern != "" {
		s.Pattern = r.Pattern
	}
	if r.MaxItems > 0 {
		s.MaxItems = ptr(uint64(r.MaxItems))
	}
	s.UniqueItems = r.Distinct
}

// decimal returns a number without an exponent.
func decimal(f float64) json.Number {
	return json.Number(strconv.FormatFloat(f, 'f', -1, 64))
}
