package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Limits of an input. They prevent a stack overflow in the recursive parser.
const (
	// maxDepth is the maximum depth of nested objects and lists.
	maxDepth = 32
	// MaxSize is the maximum size of an input, in bytes.
	MaxSize = 64 << 20
)

// minIndexedMembers is the minimum number of members of an object that is searched
// through an index. In smaller objects the members are compared one by one.
const minIndexedMembers = 16

// Source is an input and the problems found in it.
type Source struct {
	name string
	data []byte
	// root is nil for a source without text.
	root *hujson.Value
	// lineStarts holds the offset of the first byte of each line. It is filled
	// by the first call of line.
	lineStarts []int
	// index maps the member names of a large object to their positions. An
	// object is added when it is first searched.
	index    map[*hujson.Object]map[string]int
	problems Problems
	// badPaths holds the paths that already have a problem.
	badPaths map[string]bool
}

// New returns a source without text, for checks of Go values. Its problems
// have no line.
func New(name string) *Source {
	return &Source{name: name, badPaths: map[string]bool{}, index: map[*hujson.Object]map[string]int{}}
}

// Read parses JSON with comments. For a syntax error it returns an Invalid
// error that wraps Problems, which holds the line.
func Read(name string, data []byte) (*Source, error) {
	s := New(name)
	s.data = data
	if len(data) > MaxSize {
		s.Add(0, "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxSize))
		return nil, s.Err()
	}
	if offset, ok := nestedTooDeep(data); ok {
		s.Add(s.line(offset), "", "nesting", fmt.Sprintf("at most %d levels", maxDepth))
		return nil, s.Err()
	}
	root, err := hujson.Parse(data)
	if err != nil {
		line, text := syntaxError(err)
		s.Add(line, "", "syntax error ("+text+")", "JSON, with comments and trailing commas")
		return nil, s.Err()
	}
	s.root = &root
	return s, nil
}

// syntaxLine matches the start of a parser error and captures the line.
var syntaxLine = regexp.MustCompile(`^hujson: line (\d+), column \d+: `)

// syntaxError returns the line and the message of a parser error. The message is
// cut off before the part that quotes the input, because the quoted text can be an
// API key.
func syntaxError(err error) (line int, text string) {
	text = err.Error()
	if m := syntaxLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = text[len(m[0]):]
	}
	if i := strings.IndexAny(text, "\"'`:"); i >= 0 {
		text = strings.TrimSpace(text[:i])
	}
	return line, text
}

// Add records a problem at a line.
func (s *Source) Add(line int, key, value, allowed string) {
	s.badPaths[key] = true
	s.problems = append(s.problems, Problem{File: s.name, Line: line, Key: key, Value: truncate(value), Allowed: allowed})
}

// AddFrom records a problem of another input, such as the environment. HasProblem
// does not report it.
func (s *Source) AddFrom(file, key, value, allowed string) {
	s.problems = append(s.problems, Problem{File: file, Key: key, Value: truncate(value), Allowed: allowed})
}

// Report records a problem of the value at a path. Its line is that of the
// path or, if the input does not hold the path, that of the nearest parent. A
// nil value means that the key is missing.
func (s *Source) Report(path []string, value any, allowed string) {
	text := ""
	if value != nil {
		data, _ := json.Marshal(value)
		text = string(data)
	}
	s.ReportText(path, text, allowed)
}

// ReportText is like Report, but takes the text of the value.
func (s *Source) ReportText(path []string, value, allowed string) {
	line := 0
	if s.root != nil {
		offset, _ := s.find(path)
		line = s.line(offset)
	}
	s.Add(line, strings.Join(path, "."), value, allowed)
}

// HasProblem reports whether the path already has a problem.
func (s *Source) HasProblem(path ...string) bool { return s.badPaths[strings.Join(path, ".")] }

// Has reports whether the input holds the path. It is false for a source
// without text.
func (s *Source) Has(path ...string) bool {
	if s.root == nil {
		return false
	}
	_, ok := s.find(path)
	return ok
}

// Err returns nil, or an Invalid error that wraps Problems in line order.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	sort.SliceStable(s.problems, func(i, j int) bool { return s.problems[i].Line < s.problems[j].Line })
	noun := "problems"
	if len(s.problems) == 1 {
		noun = "problem"
	}
	return fault.Wrap(fault.Invalid, s.problems, "%s: %d %s", s.name, len(s.problems), noun)
}

// ProblemsOf returns the problems that err wraps, or nil.
func ProblemsOf(err error) Problems {
	var ps Problems
	if errors.As(err, &ps) {
		return ps
	}
	return nil
}

// find returns the offset of the key or list element at a path. If the input
// does not hold the path, it returns the offset of the nearest parent, and
// false.
func (s *Source) find(path []string) (offset int, ok bool) {
	v := s.root
	offset = v.StartOffset
	for _, part := range path {
		switch node := v.Value.(type) {
		case *hujson.Object:
			i, ok := s.memberIndex(node, part)
			if !ok {
				return offset, false
			}
			offset = node.Members[i].Name.StartOffset
			v = &node.Members[i].Value
		case *hujson.Array:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(node.Elements) {
				return offset, false
			}
			v = &node.Elements[i]
			offset = v.StartOffset
		default:
			return offset, false
		}
	}
	return offset, true
}

// memberIndex returns the position of the first member with the name, and
// false if there is none.
func (s *Source) memberIndex(o *hujson.Object, name string) (int, bool) {
	if len(o.Members) < minIndexedMembers {
		i := slices.IndexFunc(o.Members, func(m hujson.ObjectMember) bool { return nameOf(m) == name })
		return i, i >= 0
	}
	positions := s.index[o]
	if positions == nil {
		positions = make(map[string]int, len(o.Members))
		for i, m := range o.Members {
			if _, ok := positions[nameOf(m)]; !ok {
				positions[nameOf(m)] = i
			}
		}
		s.index[o] = positions
	}
	i, ok := positions[name]
	return i, ok
}

// nameOf returns the name of a member without quotes and escapes.
func nameOf(m hujson.ObjectMember) string {
	return textOf(m.Name.Value.(hujson.Literal))
}

// textOf returns the text of a string literal without quotes and escapes. Most
// literals are valid UTF-8 without escapes; for speed they are not decoded.
func textOf(l hujson.Literal) string {
	if l.Kind() == '"' && bytes.IndexByte(l, '\\') < 0 && utf8.Valid(l) {
		return string(l[1 : len(l)-1])
	}
	return l.String()
}

// line returns the line of an offset, counted from 1.
func (s *Source) line(offset int) int {
	if s.lineStarts == nil {
		s.lineStarts = []int{0}
		for i := 0; i < len(s.data); i++ {
			next := bytes.IndexByte(s.data[i:], '\n')
			if next < 0 {
				break
			}
			i += next
			s.lineStarts = append(s.lineStarts, i+1)
		}
	}
	return sort.SearchInts(s.lineStarts, offset+1)
}

// nestedTooDeep reports whether brackets outside strings and comments are
// nested deeper than maxDepth, and the offset where that happens first.
func nestedTooDeep(data []byte) (offset int, found bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			for i++; i < len(data) && data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
		case '/':
			i += commentLength(data[i:])
		case '{', '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// commentLength returns the length of the comment at the start of data, including
// the newline of a line comment. The first byte is not counted, because the loop of
// the caller skips it. Without a comment the length is 0.
func commentLength(data []byte) int {
	var end int
	switch {
	case bytes.HasPrefix(data, []byte("//")):
		end = bytes.IndexByte(data, '\n')
	case bytes.HasPrefix(data, []byte("/*")):
		if end = bytes.Index(data[2:], []byte("*/")); end >= 0 {
			end += 3
		}
	default:
		return 0
	}
	if end < 0 {
		return len(data)
	}
	return end
}

// Check applies rules to a Go value and reports what they refuse. Values that
// already have a problem are skipped.
func (s *Source) Check(v any, rules Rules) {
	c := checker{source: s, rules: compileRules(rules)}
	c.walk(c.rules, nil, reflect.Indirect(reflect.ValueOf(v)))
}
