package confd

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenapier/verbenapier/pkg/confd/strict"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const hashA = "sha256:0000000000000000000000000000000000000000000000000000000000000001"

// Guards against a document that changes when it is formatted and parsed, or
// split and joined.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := drawDocument(t)
		if err := Validate(doc); err != nil {
			t.Fatalf("drawn document: %v", err)
		}
		data, err := Format(doc)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := Parse("d", data)
		if err != nil {
			t.Fatal(err)
		}
		parts := Split(doc)
		joined, err := Join(parts)
		if err != nil {
			t.Fatal(err)
		}
		for _, other := range []*Document{parsed, joined} {
			if changes := Diff(doc, other); len(changes) > 0 {
				t.Fatalf("changes: %v", changes)
			}
			if !maps.EqualFunc(parts, Split(other), slices.Equal) {
				t.Fatal("parts differ")
			}
		}
	})
}

// Guards against a difference that Diff does not list or lists twice. The test
// applies one edit to a random document.
func TestDiffFindsEdit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawDocument(t)
		data, _ := Format(a)
		b, err := Parse("b", data)
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("organisation-%d", rapid.IntRange(0, 60).Draw(t, "edited"))
		o, existed := b.Organisations[name]
		if rapid.Bool().Draw(t, "remove") {
			delete(b.Organisations, name)
		} else {
			o.Weight++
			b.Organisations[name] = o
			existed = true
		}
		changes := Diff(a, b)
		if existed != (len(changes) == 1) {
			t.Fatalf("changes: %v", changes)
		}
		if existed && !strings.HasPrefix(changes[0].Path, "organisations."+name) {
			t.Fatalf("path: %s", changes[0].Path)
		}
		if reverse := Diff(b, a); len(reverse) != len(changes) {
			t.Fatalf("reverse: %v", reverse)
		}
	})
}

// Guards against changes whose text or order is wrong.
func TestDiffText(t *testing.T) {
	a := &Document{Services: map[string]Service{
		"desk": {Kind: KindPlain, Routes: []Route{{"GET", "/a", true}, {"POST", "/b", false}}},
	}, Organisations: map[string]Organisation{"x": {Keys: []string{"k1", "k2"}}, "y": {}}}
	b := &Document{Services: map[string]Service{
		"desk": {Kind: KindPlain, Routes: []Route{{"POST", "/b", true}, {"GET", "/a", true}}},
	}, Organisations: map[string]Organisation{"x": {Keys: []string{"k2", "k3"}}, "z": {Weight: 2}}}
	changes := Diff(a, b)
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	require.Equal(t, []string{
		`+ organisations.x.keys: "k3"`,
		`- organisations.x.keys: "k1"`,
		`- organisations.y: {"keys":null,"weight":0}`,
		`+ organisations.z: {"keys":null,"weight":2}`,
		`~ services.desk.routes.[POST /b].idempotent: false -> true`,
	}, lines)
}

// Guards against a problem that is missed, reported without its line or key, or
// reported twice. All problems of a document must be reported at once.
func TestProblems(t *testing.T) {
	engine := `"e": {"kind": "engine", "models": ["m"]}`
	cases := map[string]struct {
		text string
		want []string
	}{
		"empty":  {`{}`, []string{"d:1: services: missing;", "d:1: organisations: missing;"}},
		"syntax": {"{\n  services\n}", []string{"d:2: syntax error"}},
		"deep":   {strings.Repeat("[", 100000), []string{"d:1: nesting is refused; allowed: at most 32 levels"}},
		"types": {
			"{\"services\": [],\n\"models\": {\"m\": {\"version\": 4,\n\"min_engines\": 1.5}},\n\"organisations\": {\"a\": null,\n\"b\": {\"weight\": \"1\",\n\"extra\": {}, \"weight\": 2}}}",
			[]string{
				"d:1: services: a list is refused; allowed: an object", "d:2: models.m.version: 4 is refused", "d:3: models.m.min_engines: 1.5 is refused",
				"d:4: organisations.a: null is refused", "d:5: organisations.b.weight: \"1\" is refused", "d:6: organisations.b.extra: an unknown key is refused; allowed: concurrent, keys",
				"d:6: organisations.b.weight: a repeated key is refused",
			},
		},
		"ranges": {
			"{\"services\": {\"E\": {}, \"e\": {\"kind\": \"engine\",\n\"models\": [\"m\", \"m\"],\n\"time_limit\": \"1h\",\n\"max_time_limit\": \"5m\",\n\"short_prompt_tokens\": 0,\n" +
				"\"weights\": {\"time_to_first_token\": 0, \"head_of_line_blocking\": 0},\n\"retry_ratio\": 2,\n\"fencing\": \"on\",\n\"idempotency_window\": \"1h\"}}, \"organisations\": {\"o\": {\"weight\": 0}}}",
			[]string{
				`d:1: services.E: "E" is refused`, "d:2: services.e.models: a list of 2 is refused; allowed: a list of at most 256 different elements",
				`d:3: services.e.time_limit: "1h0m0s" is refused; allowed: at most max_time_limit, 5m`, "d:5: services.e.short_prompt_tokens: 0 is refused",
				"d:6: services.e.weights:", "d:7: services.e.retry_ratio: 2 is refused; allowed: a number from 0 to 1", `d:8: services.e.fencing: "on" is refused; allowed: checked, ignored`,
				"d:9: services.e.idempotency_window: the key is refused; allowed: no such key in an engine service", "d:9: organisations.o.weight: 0 is refused; allowed: a number above 0, up to 1000",
				"services.e.models.0: \"m\" is refused; allowed: a name in models", "services.e.models.1: \"m\" is refused; allowed: a name in models",
			},
		},
		"references": {
			"{\"services\": {" + engine + "},\n\"organisations\": {\n\"a\": {\"keys\": [\"" + hashA + "\"]},\n\"b\": {\"keys\": [\n\"" + hashA + "\"],\n\"services\": [\"x\"]}}}",
			[]string{
				`d:1: services.e.models.0: "m" is refused; allowed: a name in models`, `d:5: organisations.b.keys.0: (hidden) is refused; allowed: a key hash listed once; organisation "a" lists it too`,
				`d:6: organisations.b.services.0: "x" is refused; allowed: a name in services`,
			},
		},
		"plain": {
			"{\"services\": {\"p\": {\"kind\": \"plain\", \"models\": [\"m\"],\n\"routes\": [\n{\"method\": \"GET\", \"path\": \"/a/{x}\"},\n{\"method\": \"GET\", \"path\": \"/{x}/b\"},\n{\"method\": \"GET\", \"path\": \"/{x\"},\n" +
				"{\"method\": \"get\", \"path\": \"host/\"}]},\n\"q\": {\"kind\": \"plain\"}, \"r\": {}}, \"organisations\": {}}",
			[]string{
				"d:1: services.p.models: the key is refused", "services.p.idempotency_window: missing; allowed: a duration such as \"24h\", because routes.0 is not idempotent",
				"d:4: services.p.routes.1.path: \"/{x}/b\" is refused; allowed: a pattern that does not conflict with routes.0 (GET /a/{x})",
				"d:5: services.p.routes.2.path:", "d:6: services.p.routes.3.method: \"get\" is refused", "d:6: services.p.routes.3.path:",
				"d:7: services.q.routes: null is refused; allowed: at least one route", "d:7: services.r.kind: missing; allowed: engine, plain",
			},
		},
		"key": {"{\"services\": {}, \"organisations\": {\"a\": {\"keys\": [\"my secret key\"]}}}", []string{"organisations.a.keys.0: (hidden) is refused"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("d", []byte(tc.text))
			require.True(t, fault.Is(err, fault.Invalid), "%v", err)
			problems := strict.ProblemsOf(err)
			for _, want := range tc.want {
				require.Contains(t, problems.Error(), want)
			}
			require.Len(t, problems, len(tc.want), "%v", problems)
			require.NotContains(t, err.Error(), "secret")
		})
	}
}

// Guards against a change of one organisation that replaces several parts, a
// part above MaxPartSize, and buckets that depend on the order of edits.
func TestSplitStable(t *testing.T) {
	for _, n := range []int{10, 19000} {
		doc := largeDocument(n)
		before := Split(doc)
		for i := 0; i < n; i += max(1, n/10) {
			name := fmt.Sprintf("organisation-%05d", i)
			o := doc.Organisations[name]
			o.Weight = 2
			doc.Organisations[name] = o
			after := Split(doc)
			require.Len(t, changed(before, after), 1)
			before = after
		}
		delete(doc.Organisations, "organisation-00003")
		require.Len(t, changed(before, Split(doc)), 1)
	}
	doc := largeDocument(4000)
	for name, o := range doc.Organisations {
		for i := range 200 {
			o.Keys = append(o.Keys, KeyHash(fmt.Sprint(name, i)))
		}
		doc.Organisations[name] = o
	}
	for name, part := range Split(doc) {
		require.LessOrEqual(t, len(part), MaxPartSize, name)
	}
}

// changed returns the names of the parts that differ between a and b.
func changed(a, b map[string][]byte) []string {
	var names []string
	for name := range b {
		if string(a[name]) != string(b[name]) {
			names = append(names, name)
		}
	}
	for name := range a {
		if _, ok := b[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// Guards against a service, model or organisation that passes validation but
// is larger than MaxPartSize.
func TestLargestEntries(t *testing.T) {
	list := func(n, length int) []string {
		out := make([]string, n)
		for i := range out {
			out[i] = fmt.Sprintf("%0*d", length, i)
		}
		return out
	}
	doc := &Document{Services: map[string]Service{}, Models: map[string]Model{}, Organisations: map[string]Organisation{}}
	plain := Service{Kind: KindPlain, TimeLimit: DefaultTimeLimit, MaxTimeLimit: DefaultMaxTimeLimit, IdempotencyWindow: DefaultQuarantineTime}
	for _, p := range list(maxListLength, 255) {
		plain.Routes = append(plain.Routes, Route{"OPTIONS", "/" + p, false})
	}
	keys := list(maxKeys, 64)
	for i := range keys {
		keys[i] = "sha256:" + keys[i]
	}
	for _, name := range list(maxListLength, 63) {
		doc.Services[name] = plain
	}
	for _, name := range list(maxListLength, 128) {
		doc.Models[name] = Model{Version: name, Adapters: list(maxListLength, 128)}
	}
	doc.Organisations["o"] = Organisation{Weight: 1, Keys: keys, Services: list(maxListLength, 63)}
	require.NoError(t, Validate(doc))
	for name, part := range Split(doc) {
		require.LessOrEqual(t, len(part), MaxPartSize, name)
	}
}

// Guards against a result of Patch that differs from the document whose parts it
// received, and against a Patch that changes its input.
func TestPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t), drawDocument(t)
		before, after := Split(a), Split(b)
		got, err := Patch(a, before, after)
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(b, got); len(changes) > 0 {
			t.Fatalf("changes: %v", changes)
		}
		if !maps.EqualFunc(before, Split(a), slices.Equal) {
			t.Fatal("Patch changed its input")
		}
	})
}

// Guards against a default that wrongly depends on which other keys are set, and
// against a document built in Go that cannot be parsed after Format.
func TestDefaults(t *testing.T) {
	doc, err := Parse("d", []byte(`{"services": {
		"e": {"kind": "engine", "models": ["m"], "weights": {"time_to_first_token": 3}, "retry_ratio": 0},
		"p": {"kind": "plain", "routes": [{"method": "GET", "path": "/", "idempotent": true}]}},
		"models": {"m": {"version": "1"}}, "organisations": {"o": {}}}`))
	require.NoError(t, err)
	require.Equal(t, Service{
		Kind: KindEngine, Models: []string{"m"}, TimeLimit: DefaultTimeLimit, MaxTimeLimit: DefaultMaxTimeLimit,
		ShortPromptTokens: DefaultShortPromptTokens, Weights: Weights{3, 1}, Fencing: FencingIgnored, QuarantineTime: DefaultQuarantineTime,
	}, doc.Services["e"])
	require.Zero(t, doc.Services["p"].Weights)
	require.InDelta(t, DefaultRetryRatio, doc.Services["p"].RetryRatio, 0)
	require.Equal(t, Organisation{Keys: []string{}, Weight: DefaultWeight}, doc.Organisations["o"])

	built := &Document{Organisations: map[string]Organisation{"o": {Weight: 1}}}
	data, err := Format(built)
	require.NoError(t, err)
	parsed, err := Parse("made", data)
	require.NoError(t, err)
	require.Empty(t, Diff(built, parsed))
}

// Guards against parts that an older or newer daemon has written and that cannot be
// read, and against contradictory parts that are accepted.
func TestJoin(t *testing.T) {
	doc, err := Join(map[string][]byte{
		"services":      []byte(`{"e": {"kind": "engine", "models": ["m"], "future": 1}}`),
		"organisations": []byte(`{"o": {}}`),
	})
	require.NoError(t, err)
	require.Equal(t, DefaultShortPromptTokens, doc.Services["e"].ShortPromptTokens)
	require.InDelta(t, DefaultWeight, doc.Organisations["o"].Weight, 0)
	for name, parts := range map[string]map[string][]byte{
		"twice":   {"models/0": []byte(`{"m": {}}`), "models/1": []byte(`{"m": {}}`)},
		"group":   {"rules": []byte(`{}`)},
		"garbage": {"models": []byte(`{`)},
	} {
		_, err := Join(parts)
		require.True(t, fault.Is(err, fault.Invalid), name)
	}
}

// Guards against a panic or a hang on malformed input, and against an
// accepted document that changes or becomes invalid when it is split and
// joined.
func FuzzParse(f *testing.F) {
	data, _ := json.Marshal(largeDocument(3))
	f.Add(data)
	f.Add([]byte(`{"services": {"p": {"kind": "plain", "routes": [{"method": "GET", "path": "/{a...}"}]}}, // c` + "\n" + `"organisations": {}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse("fuzz", data)
		if err != nil {
			require.NotEmpty(t, strict.ProblemsOf(err))
			return
		}
		joined, err := Join(Split(doc))
		require.NoError(t, err)
		require.NoError(t, Validate(joined))
		require.Empty(t, Diff(doc, joined))
	})
}

func BenchmarkDocument(b *testing.B) {
	for _, n := range []int{1000, 5000, 10000, 19000} {
		doc := largeDocument(n)
		data, _ := Format(doc)
		parts := Split(doc)
		b.Run(fmt.Sprintf("parse/%d", n), func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := Parse("d", data); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("split/%d", n), func(b *testing.B) {
			for b.Loop() {
				Split(doc)
			}
			name := "organisation-00000"
			o := doc.Organisations[name]
			o.Weight = 2
			doc.Organisations[name] = o
			after := Split(doc)
			b.ReportMetric(float64(len(after[changed(parts, after)[0]])), "changed-B")
			b.ReportMetric(float64(len(after)), "parts")
		})
		b.Run(fmt.Sprintf("patch/%d", n), func(b *testing.B) {
			other := maps.Clone(parts)
			for name := range parts {
				if strings.HasPrefix(name, groupOrganisations) {
					other[name] = append(slices.Clone(parts[name]), ' ')
					break
				}
			}
			for b.Loop() {
				if _, err := Patch(doc, parts, other); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("join/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Join(parts); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
