package strict

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// branch is a node of the rules arranged by path part.
type branch struct {
	rule     *Rule
	names    *regexp.Regexp
	children map[string]*branch
}

func compile(rules Rules) *branch {
	root := &branch{children: map[string]*branch{}}
	for path, rule := range rules {
		b := root
		for part := range strings.SplitSeq(path, ".") {
			next := b.children[part]
			if next == nil {
				next = &branch{children: map[string]*branch{}}
				b.children[part] = next
			}
			b = next
		}
		b.rule = &rule
		if rule.Pattern != "" {
			b.names = regexp.MustCompile(rule.Pattern)
		}
	}
	return root
}

type checker struct {
	source *Source
	rules  *branch
}

func (c *checker) walk(b *branch, path []string, v reflect.Value) {
	if b == nil || (len(path) > 0 && c.source.Bad(path...)) {
		return
	}
	if v.Kind() == reflect.Map {
		c.walkMap(b, path, v)
		return
	}
	if b.rule != nil && b.rule.Check != nil && !b.rule.Check(v) {
		c.refuse(path, v, b.rule)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			name, ok := keyOf(v.Type().Field(i))
			if next := b.children[name]; ok && next != nil {
				c.walk(next, under(path, name), v.Field(i))
			}
		}
	case reflect.Slice:
		if next := b.children["*"]; next != nil {
			for i := range v.Len() {
				c.walk(next, under(path, strconv.Itoa(i)), v.Index(i))
			}
		}
	}
}

func (c *checker) walkMap(b *branch, path []string, v reflect.Value) {
	for _, key := range slices.SortedFunc(slices.Values(v.MapKeys()), func(a, b reflect.Value) int {
		return strings.Compare(a.String(), b.String())
	}) {
		at := under(path, key.String())
		if b.names != nil && !b.names.MatchString(key.String()) {
			c.source.ReportText(at, strconv.Quote(key.String()), b.rule.Allowed)
			continue
		}
		c.walk(b.children["*"], at, v.MapIndex(key))
	}
}

func (c *checker) refuse(path []string, v reflect.Value, rule *Rule) {
	switch {
	case v.IsZero() && v.Kind() != reflect.Bool && !c.source.Has(path...):
		c.source.Report(path, nil, rule.Allowed)
	case rule.Secret:
		c.source.ReportText(path, Hidden, rule.Allowed)
	case v.Kind() == reflect.Slice:
		c.source.ReportText(path, fmt.Sprintf("a list of %d", v.Len()), rule.Allowed)
	case v.Type() == durationType:
		c.source.ReportText(path, strconv.Quote(v.Interface().(time.Duration).String()), rule.Allowed)
	default:
		c.source.Report(path, v.Interface(), rule.Allowed)
	}
}

// under returns the path of a child. It may share memory with paths of other
// children, so a path is valid only until the next child is visited.
func under(path []string, name string) []string {
	return append(path, name)
}
