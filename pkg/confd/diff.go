package confd

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Change is a difference between two documents.
type Change struct {
	// Path names the value, with dots between the parts.
	Path string `json:"path"`
	// From and To are the values as JSON; From is empty for an addition and
	// To for a removal.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String returns the change as one line that starts with "+" for an addition,
// "-" for a removal and "~" for a changed value.
func (c Change) String() string {
	switch {
	case c.From == "":
		return "+ " + c.Path + ": " + c.To
	case c.To == "":
		return "- " + c.Path + ": " + c.From
	}
	return "~ " + c.Path + ": " + c.From + " -> " + c.To
}

// Diff returns the changes from a to b in the order of their paths. The order
// of lists has no meaning and is not compared.
func Diff(a, b *Document) []Change {
	d := &differ{}
	d.compare("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	slices.SortFunc(d.changes, func(x, y Change) int {
		if c := strings.Compare(x.Path, y.Path); c != 0 {
			return c
		}
		return strings.Compare(x.From+"\x00"+x.To, y.From+"\x00"+y.To)
	})
	return d.changes
}

// differ collects the changes that compare finds.
type differ struct {
	changes []Change
}

func (d *differ) add(path string, from, to reflect.Value) {
	d.changes = append(d.changes, Change{Path: strings.TrimPrefix(path, "."), From: jsonText(from), To: jsonText(to)})
}

// jsonText returns the value as JSON, or "" for the zero reflect.Value.
func jsonText(v reflect.Value) string {
	if !v.IsValid() {
		return ""
	}
	data, _ := json.Marshal(v.Interface())
	return string(data)
}

// compare adds the changes from a to b, which have the same type.
func (d *differ) compare(path string, a, b reflect.Value) {
	switch a.Kind() {
	case reflect.Map:
		d.compareEntries(path, byName(a), byName(b))
	case reflect.Slice:
		d.compareLists(path, a, b)
	case reflect.Struct:
		for i := range a.NumField() {
			key, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
			d.compare(path+"."+key, a.Field(i), b.Field(i))
		}
	default:
		if !a.Equal(b) {
			d.add(path, a, b)
		}
	}
}

// compareEntries compares two maps by name. An entry that only one of them
// holds is one change.
func (d *differ) compareEntries(path string, a, b map[string]reflect.Value) {
	for _, key := range slices.Sorted(maps.Keys(a)) {
		other, ok := b[key]
		if !ok {
			d.add(path+"."+key, a[key], other)
			continue
		}
		d.compare(path+"."+key, a[key], other)
	}
	for key := range b {
		if _, ok := a[key]; !ok {
			d.add(path+"."+key, reflect.Value{}, b[key])
		}
	}
}

// byName returns the entries of a map with string keys.
func byName(v reflect.Value) map[string]reflect.Value {
	out := make(map[string]reflect.Value, v.Len())
	for _, key := range v.MapKeys() {
		out[key.String()] = v.MapIndex(key)
	}
	return out
}

// compareLists compares lists of routes by method and path, and other lists, which
// hold strings, as multisets.
func (d *differ) compareLists(path string, a, b reflect.Value) {
	if a.Type().Elem() == reflect.TypeFor[Route]() {
		d.compareEntries(path, byRoute(a), byRoute(b))
		return
	}
	// unmatched counts, by value, the elements of b for which no equal element of
	// a has been found yet. A negative count means that a holds more of them.
	unmatched := map[string]int{}
	for i := range b.Len() {
		unmatched[b.Index(i).String()]++
	}
	for i := range a.Len() {
		if unmatched[a.Index(i).String()]--; unmatched[a.Index(i).String()] < 0 {
			d.add(path, a.Index(i), reflect.Value{})
		}
	}
	for i := range b.Len() {
		if value := b.Index(i).String(); unmatched[value] > 0 {
			unmatched[value]--
			d.add(path, reflect.Value{}, b.Index(i))
		}
	}
}

// byRoute returns the routes of a list by method and path.
func byRoute(v reflect.Value) map[string]reflect.Value {
	out := make(map[string]reflect.Value, v.Len())
	for i := range v.Len() {
		r := v.Index(i).Interface().(Route)
		out["["+r.Method+" "+r.Path+"]"] = v.Index(i)
	}
	return out
}
