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

// Prefiller is implemented by elements of maps that have defaults.
type Prefiller interface {
	// Prefill sets the defaults before the element is decoded.
	Prefill()
}

var (
	durationType    = reflect.TypeFor[time.Duration]()
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
)

// Decode fills the struct that into points to and reports unknown and
// repeated keys and values of the wrong type. Keys that are absent keep their
// value. Values at the paths in secret are hidden in messages.
func (s *Source) Decode(into any, rules Rules) {
	d := decoder{source: s, layouts: map[reflect.Type]layout{}}
	d.decode(compile(rules), nil, s.root, reflect.ValueOf(into).Elem())
}

type decoder struct {
	source  *Source
	layouts map[reflect.Type]layout
}

// layout holds the JSON keys of a struct.
type layout struct {
	fields map[string]int
	names  []string
}

func (d *decoder) refuse(b *branch, path []string, v *hujson.Value, allowed string) {
	var text string
	switch node := v.Value.(type) {
	case *hujson.Object:
		text = "an object"
	case *hujson.Array:
		text = "a list"
	case hujson.Literal:
		text = string(node)
	}
	if b != nil && b.rule != nil {
		if b.rule.Secret {
			text = Hidden
		}
		if b.rule.Allowed != "" {
			allowed = b.rule.Allowed
		}
	}
	d.source.Add(d.source.line(v.StartOffset), strings.Join(path, "."), text, allowed)
}

func (d *decoder) decode(b *branch, path []string, v *hujson.Value, into reflect.Value) {
	if into.Type() == durationType || reflect.PointerTo(into.Type()).Implements(unmarshalerType) {
		d.scalar(b, path, v, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct, reflect.Map:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			d.refuse(nil, path, v, "an object")
			return
		}
		if into.Kind() == reflect.Map {
			d.mapping(b, path, object, into)
		} else {
			d.structure(b, path, object, into)
		}
	case reflect.Slice:
		list, ok := v.Value.(*hujson.Array)
		if !ok {
			d.refuse(b, path, v, "a list")
			return
		}
		out := reflect.MakeSlice(into.Type(), len(list.Elements), len(list.Elements))
		for i := range list.Elements {
			d.decode(b.child("*"), under(path, strconv.Itoa(i)), &list.Elements[i], out.Index(i))
		}
		into.Set(out)
	default:
		d.scalar(b, path, v, into)
	}
}

func (d *decoder) structure(b *branch, path []string, object *hujson.Object, into reflect.Value) {
	l, ok := d.layouts[into.Type()]
	if !ok {
		l = layoutOf(into.Type())
		d.layouts[into.Type()] = l
	}
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := nameOf(*m)
		at := under(path, name)
		field, known := l.fields[name]
		switch {
		case !known:
			d.source.Add(d.source.line(m.Name.StartOffset), strings.Join(at, "."), "an unknown key", strings.Join(l.names, ", "))
		case seen[name]:
			d.source.Add(d.source.line(m.Name.StartOffset), strings.Join(at, "."), "a repeated key", "each key once")
		default:
			seen[name] = true
			d.decode(b.child(name), at, &m.Value, into.Field(field))
		}
	}
}

func (d *decoder) mapping(b *branch, path []string, object *hujson.Object, into reflect.Value) {
	out := reflect.MakeMapWithSize(into.Type(), len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		name := nameOf(*m)
		at := under(path, name)
		key := reflect.ValueOf(name).Convert(into.Type().Key())
		if out.MapIndex(key).IsValid() {
			d.source.Add(d.source.line(m.Name.StartOffset), strings.Join(at, "."), "a repeated key", "each key once")
			continue
		}
		element := reflect.New(into.Type().Elem())
		if p, ok := element.Interface().(Prefiller); ok {
			p.Prefill()
		}
		d.decode(b.child("*"), at, &m.Value, element.Elem())
		out.SetMapIndex(key, element.Elem())
	}
	into.Set(out)
}

func (d *decoder) scalar(b *branch, path []string, v *hujson.Value, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	allowed := typeName(into.Type())
	if !ok || setLiteral(literal, into) != nil {
		d.refuse(b, path, v, allowed)
	}
}

var errType = fault.New(fault.Invalid, "wrong type")

// SetText sets a scalar, or a list of strings separated by commas, from text
// as an environment variable holds it. A value of the wrong type is Invalid.
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

func setLiteral(l hujson.Literal, into reflect.Value) error {
	isString := l.Kind() == '"'
	if u, ok := into.Addr().Interface().(json.Unmarshaler); ok {
		return u.UnmarshalJSON(l)
	}
	if into.Type() == durationType {
		parsed, err := time.ParseDuration(textOf(l))
		if !isString || err != nil {
			return errType
		}
		into.SetInt(int64(parsed))
		return nil
	}
	switch into.Kind() {
	case reflect.String:
		if !isString {
			return errType
		}
		into.SetString(textOf(l))
	case reflect.Bool:
		if string(l) != "true" && string(l) != "false" {
			return errType
		}
		into.SetBool(string(l) == "true")
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(string(l), 10, 64)
		if err != nil {
			return err
		}
		into.SetInt(n)
	case reflect.Float64:
		f, err := strconv.ParseFloat(string(l), 64)
		if isString || err != nil || f-f != 0 {
			return errType
		}
		into.SetFloat(f)
	default:
		return errType
	}
	return nil
}

func typeName(t reflect.Type) string {
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

func (b *branch) child(name string) *branch {
	if b == nil {
		return nil
	}
	return b.children[name]
}

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
