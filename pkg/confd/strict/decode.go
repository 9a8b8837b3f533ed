package strict

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Defaulter is implemented by the element types of maps that have defaults.
type Defaulter interface {
	// SetDefaults sets the defaults before the element is decoded.
	SetDefaults()
}

var (
	durationType    = reflect.TypeFor[time.Duration]()
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
)

// Decode fills the struct that into points to and reports unknown keys,
// repeated keys and values of the wrong type. Fields whose key is absent keep
// their value. Values with a secret rule are hidden in messages.
func (s *Source) Decode(into any, rules Rules) {
	d := decoder{source: s, layouts: map[reflect.Type]layout{}}
	d.decode(compileRules(rules), nil, s.root, reflect.ValueOf(into).Elem())
}

// decoder copies the parsed input into Go values.
type decoder struct {
	source  *Source
	layouts map[reflect.Type]layout
}

// layout holds the JSON keys of a struct type.
type layout struct {
	// fields maps a key to the index of its field.
	fields map[string]int
	// names holds the keys in sorted order.
	names []string
}

// report records a value of the wrong type. If the rule describes the accepted
// values, its description replaces allowed.
func (d *decoder) report(node *ruleNode, path []string, v *hujson.Value, allowed string) {
	var text string
	switch literal := v.Value.(type) {
	case *hujson.Object:
		text = "an object"
	case *hujson.Array:
		text = "a list"
	case hujson.Literal:
		text = string(literal)
	}
	if node != nil && node.rule != nil {
		if node.rule.Secret {
			text = Hidden
		}
		if node.rule.Allowed != "" {
			allowed = node.rule.Allowed
		}
	}
	d.source.Add(d.source.line(v.StartOffset), strings.Join(path, "."), text, allowed)
}

// decode sets into to the value v at a path and reports the problems of v.
func (d *decoder) decode(node *ruleNode, path []string, v *hujson.Value, into reflect.Value) {
	if into.Type() == durationType || reflect.PointerTo(into.Type()).Implements(unmarshalerType) {
		d.decodeScalar(node, path, v, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct, reflect.Map:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			d.report(nil, path, v, "an object")
			return
		}
		if into.Kind() == reflect.Map {
			d.decodeMap(node, path, object, into)
		} else {
			d.decodeStruct(node, path, object, into)
		}
	case reflect.Slice:
		array, ok := v.Value.(*hujson.Array)
		if !ok {
			d.report(node, path, v, "a list")
			return
		}
		out := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
		for i := range array.Elements {
			d.decode(node.child("*"), childPath(path, strconv.Itoa(i)), &array.Elements[i], out.Index(i))
		}
		into.Set(out)
	default:
		d.decodeScalar(node, path, v, into)
	}
}

func (d *decoder) decodeStruct(node *ruleNode, path []string, object *hujson.Object, into reflect.Value) {
	l, ok := d.layouts[into.Type()]
	if !ok {
		l = layoutOf(into.Type())
		d.layouts[into.Type()] = l
	}
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := nameOf(*m)
		keyPath := childPath(path, name)
		field, known := l.fields[name]
		switch {
		case !known:
			d.source.Add(d.source.line(m.Name.StartOffset), strings.Join(keyPath, "."), "an unknown key", strings.Join(l.names, ", "))
		case seen[name]:
			d.source.Add(d.source.line(m.Name.StartOffset), strings.Join(keyPath, "."), "a repeated key", "each key once")
		default:
			seen[name] = true
			d.decode(node.child(name), keyPath, &m.Value, into.Field(field))
		}
	}
}

func (d *decoder) decodeMap(node *ruleNode, path []string, object *hujson.Object, into reflect.Value) {
	out := reflect.MakeMapWithSize(into.Type(), len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		name := nameOf(*m)
		keyPath := childPath(path, name)
		key := reflect.ValueOf(name).Convert(into.Type().Key())
		if out.MapIndex(key).IsValid() {
			d.source.Add(d.source.line(m.Name.StartOffset), strings.Join(keyPath, "."), "a repeated key", "each key once")
			continue
		}
		element := reflect.New(into.Type().Elem())
		if p, ok := element.Interface().(Defaulter); ok {
			p.SetDefaults()
		}
		d.decode(node.child("*"), keyPath, &m.Value, element.Elem())
		out.SetMapIndex(key, element.Elem())
	}
	into.Set(out)
}

func (d *decoder) decodeScalar(node *ruleNode, path []string, v *hujson.Value, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	allowed := describeType(into.Type())
	if !ok || setLiteral(literal, into) != nil {
		d.report(node, path, v, allowed)
	}
}

// errWrongType says that a literal does not have the type of the Go value.
var errWrongType = fault.New(fault.Invalid, "wrong type")

// SetText sets a scalar, or a list of strings, from the text of an environment
// variable, where commas separate the elements of a list. It returns an error
// when the text does not have the type of into.
func SetText(text string, into reflect.Value) error {
	if into.Kind() == reflect.Slice {
		into.Set(reflect.ValueOf(strings.Split(text, ",")).Convert(into.Type()))
		return nil
	}
	if into.Kind() == reflect.String || into.Type() == durationType {
		return setLiteral(hujson.String(text), into)
	}
	return setLiteral(hujson.Literal(text), into)
}

// setLiteral sets a scalar from a JSON literal, and returns an error when the
// literal does not have the type of into.
func setLiteral(l hujson.Literal, into reflect.Value) error {
	isString := l.Kind() == '"'
	if u, ok := into.Addr().Interface().(json.Unmarshaler); ok {
		return u.UnmarshalJSON(l)
	}
	if into.Type() == durationType {
		parsed, err := time.ParseDuration(textOf(l))
		if !isString || err != nil {
			return errWrongType
		}
		into.SetInt(int64(parsed))
		return nil
	}
	switch into.Kind() {
	case reflect.String:
		if !isString {
			return errWrongType
		}
		into.SetString(textOf(l))
	case reflect.Bool:
		if string(l) != "true" && string(l) != "false" {
			return errWrongType
		}
		into.SetBool(string(l) == "true")
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(string(l), 10, 64)
		if err != nil {
			return err
		}
		into.SetInt(n)
	case reflect.Float64:
		// f-f is not 0 if f is infinite or not a number.
		f, err := strconv.ParseFloat(string(l), 64)
		if isString || err != nil || f-f != 0 {
			return errWrongType
		}
		into.SetFloat(f)
	default:
		return errWrongType
	}
	return nil
}

// describeType returns the description of a scalar type for a problem. Every type
// based on int64 counts as a duration.
func describeType(t reflect.Type) string {
	if t == durationType || t.Kind() == reflect.Int64 {
		return "a duration such as \"30s\""
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	}
	return "a number"
}

// child returns the node of a path part, or nil if there is none. It may be
// called on nil.
func (node *ruleNode) child(name string) *ruleNode {
	if node == nil {
		return nil
	}
	return node.children[name]
}

// layoutOf returns the layout of a struct type.
func layoutOf(t reflect.Type) layout {
	l := layout{fields: map[string]int{}}
	for i := range t.NumField() {
		if name, ok := keyOf(t.Field(i)); ok {
			l.fields[name] = i
			l.names = append(l.names, name)
		}
	}
	slices.Sort(l.names)
	return l
}

// keyOf returns the JSON key of a field, and false when it has none.
func keyOf(f reflect.StructField) (string, bool) {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name, name != "" && name != "-"
}
