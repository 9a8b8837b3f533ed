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

// ruleNode is a node of the tree of rules, which has one level for each part
// of a path.
type ruleNode struct {
	// rule is nil when no rule has this path.
	rule *Rule
	// namePattern is the compiled pattern of the rule. The names of a map are
	// matched against it.
	namePattern *regexp.Regexp
	children    map[string]*ruleNode
}

// compileRules returns the root of the tree of rules.
func compileRules(rules Rules) *ruleNode {
	root := &ruleNode{children: map[string]*ruleNode{}}
	for path, rule := range rules {
		node := root
		for part := range strings.SplitSeq(path, ".") {
			next := node.children[part]
			if next == nil {
				next = &ruleNode{children: map[string]*ruleNode{}}
				node.children[part] = next
			}
			node = next
		}
		node.rule = &rule
		if rule.Pattern != "" {
			node.namePattern = regexp.MustCompile(rule.Pattern)
		}
	}
	return root
}

// checker applies rules to a Go value and reports what they refuse.
type checker struct {
	source *Source
	rules  *ruleNode
}

// walk checks the value at a path and all values below it.
func (c *checker) walk(node *ruleNode, path []string, v reflect.Value) {
	if node == nil || (len(path) > 0 && c.source.HasProblem(path...)) {
		return
	}
	if v.Kind() == reflect.Map {
		c.walkMap(node, path, v)
		return
	}
	if node.rule != nil && node.rule.Check != nil && !node.rule.Check(v) {
		c.report(path, v, node.rule)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			name, ok := keyOf(v.Type().Field(i))
			if next := node.children[name]; ok && next != nil {
				c.walk(next, childPath(path, name), v.Field(i))
			}
		}
	case reflect.Slice:
		if next := node.children["*"]; next != nil {
			for i := range v.Len() {
				c.walk(next, childPath(path, strconv.Itoa(i)), v.Index(i))
			}
		}
	}
}

// walkMap checks the names of a map in sorted order and the value of each
// accepted name.
func (c *checker) walkMap(node *ruleNode, path []string, v reflect.Value) {
	for _, key := range slices.SortedFunc(slices.Values(v.MapKeys()), func(a, b reflect.Value) int {
		return strings.Compare(a.String(), b.String())
	}) {
		keyPath := childPath(path, key.String())
		if node.namePattern != nil && !node.namePattern.MatchString(key.String()) {
			c.source.ReportText(keyPath, strconv.Quote(key.String()), node.rule.Allowed)
			continue
		}
		c.walk(node.children["*"], keyPath, v.MapIndex(key))
	}
}

// report records a refused value. The zero value of a key that the input does not
// hold is reported as missing.
func (c *checker) report(path []string, v reflect.Value, rule *Rule) {
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

// childPath returns the path of a child. It may share memory with the paths of
// other children, so it is valid only until the next child is visited.
func childPath(path []string, name string) []string {
	return append(path, name)
}
