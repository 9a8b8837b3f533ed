package confd

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/invopop/jsonschema"
)

// durationPattern accepts what time.ParseDuration accepts without a sign.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`

// Schema returns the JSON schema of the document. It covers types, ranges and
// which keys a kind of service has; references between entries are checked by
// Parse only.
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
	service := at(root, "services.*")
	service.AllOf = []*jsonschema.Schema{
		onKind(KindEngine, []string{"models"}, []string{"routes", "idempotency_window"}),
		onKind(KindPlain, []string{"routes"}, []string{"models", "short_prompt_tokens", "weights", "fencing", "quarantine_time"}),
	}
	at(root, "services.*.models").MinItems = ref(uint64(1))
	at(root, "services.*.routes").MinItems = ref(uint64(1))
	// The schema consists of strings, numbers and lists, which always encode.
	data, _ := json.MarshalIndent(root, "", "  ")
	return append(data, '\n')
}

func ref[T any](v T) *T { return &v }

// onKind requires and forbids keys of a kind of service.
func onKind(kind ServiceKind, required, forbidden []string) *jsonschema.Schema {
	match := jsonschema.NewProperties()
	match.Set("kind", &jsonschema.Schema{Const: string(kind)})
	refused := jsonschema.NewProperties()
	for _, key := range forbidden {
		refused.Set(key, jsonschema.FalseSchema)
	}
	return &jsonschema.Schema{
		If:   &jsonschema.Schema{Properties: match, Required: []string{"kind"}},
		Then: &jsonschema.Schema{Required: required, Properties: refused},
	}
}

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

// at returns the schema of a path of Fields.
func at(s *jsonschema.Schema, path string) *jsonschema.Schema {
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

func applyField(root *jsonschema.Schema, f Field) {
	s := at(root, f.Path)
	s.Description = f.Meaning
	s.Default = f.Default
	if f.Required {
		parent, key := root, f.Path
		if i := strings.LastIndexByte(f.Path, '.'); i >= 0 {
			parent, key = at(root, f.Path[:i]), f.Path[i+1:]
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
		s.MaxItems = ref(uint64(r.MaxItems))
	}
	s.UniqueItems = r.Distinct
}

func decimal(f float64) json.Number {
	return json.Number(strconv.FormatFloat(f, 'f', -1, 64))
}
