package strict

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Rule says which values a key accepts beyond its type.
type Rule struct {
	// Allowed describes the accepted values.
	Allowed string
	// Check reports whether the value is accepted; nil accepts every value.
	Check func(v reflect.Value) bool
	// Secret hides the value in messages.
	Secret bool

	// The fields below describe what Check accepts, in the terms of JSON Schema.

	// Min and Max bound a number.
	Min, Max *float64
	// AboveMin excludes Min itself.
	AboveMin bool
	// Enum lists the accepted strings.
	Enum []string
	// Pattern is a regular expression for a string or for the names of a map.
	Pattern string
	// MaxItems is the maximum length of a list; 0 means no limit.
	MaxItems int
	// Distinct says that no element of a list may be repeated.
	Distinct bool
}

// Rules maps key paths to rules. A part "*" stands for any name of a map and
// any element of a list.
type Rules map[string]Rule

// Between accepts numbers from low to high.
func Between(low, high float64) Rule {
	return Rule{
		Allowed: fmt.Sprintf("a number from %s to %s", formatNumber(low), formatNumber(high)),
		Check:   func(v reflect.Value) bool { f := numericValue(v); return f >= low && f <= high },
		Min:     &low, Max: &high,
	}
}

// Above accepts numbers above low, up to high.
func Above(low, high float64) Rule {
	return Rule{
		Allowed: fmt.Sprintf("a number above %s, up to %s", formatNumber(low), formatNumber(high)),
		Check:   func(v reflect.Value) bool { f := numericValue(v); return f > low && f <= high },
		Min:     &low, Max: &high, AboveMin: true,
	}
}

// DurationBetween accepts durations from low to high.
func DurationBetween(low, high time.Duration) Rule {
	return Rule{
		Allowed: fmt.Sprintf("a duration from %s to %s, such as \"30s\"", FormatDuration(low), FormatDuration(high)),
		Check: func(v reflect.Value) bool {
			return v.Int() >= int64(low) && v.Int() <= int64(high)
		},
	}
}

// OneOf accepts the given strings.
func OneOf(values ...string) Rule {
	return Rule{
		Allowed: strings.Join(values, ", "),
		Check:   func(v reflect.Value) bool { return slices.Contains(values, v.String()) },
		Enum:    values,
	}
}

// Matching accepts strings that match the regular expression, or maps whose
// names match it.
func Matching(pattern, allowed string) Rule {
	re := regexp.MustCompile(pattern)
	return Rule{
		Allowed: allowed,
		Check:   func(v reflect.Value) bool { return re.MatchString(v.String()) },
		Pattern: pattern,
	}
}

// Optional accepts what r accepts and the zero value of the type.
func Optional(r Rule) Rule {
	check := r.Check
	r.Check = func(v reflect.Value) bool { return v.IsZero() || check(v) }
	return r
}

// DistinctItems accepts lists of up to n different strings.
func DistinctItems(n int) Rule {
	r := MaxItems(n)
	r.Distinct = true
	r.Allowed = fmt.Sprintf("a list of at most %d different elements", n)
	r.Check = func(v reflect.Value) bool {
		seen := make(map[string]bool, v.Len())
		for i := range v.Len() {
			seen[v.Index(i).String()] = true
		}
		return len(seen) == v.Len() && v.Len() <= n
	}
	return r
}

// MaxItems accepts lists of up to n elements.
func MaxItems(n int) Rule {
	return Rule{
		Allowed:  fmt.Sprintf("a list of at most %d elements", n),
		Check:    func(v reflect.Value) bool { return v.Len() <= n },
		MaxItems: n,
	}
}

// FormatDuration formats a duration without zero parts: "10m" instead of "10m0s".
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// formatNumber returns a number in the notation of JSON.
func formatNumber(f float64) string {
	data, _ := json.Marshal(f)
	return string(data)
}

// numericValue returns an integer or a floating-point number as a float64.
func numericValue(v reflect.Value) float64 {
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}
