package confd

import (
	"flag"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes every run check the same documents. The flag -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// drawDocument draws a valid document.
func drawDocument(t *rapid.T) *Document {
	doc := &Document{Services: map[string]Service{}, Models: map[string]Model{}, Organisations: map[string]Organisation{}}
	modelCount, serviceCount := rapid.IntRange(1, 5).Draw(t, "models"), rapid.IntRange(0, 6).Draw(t, "services")
	models, services := make([]string, 0, modelCount), make([]string, 0, serviceCount)
	for i := range modelCount {
		name := fmt.Sprintf("model-%d", i)
		models = append(models, name)
		doc.Models[name] = Model{Version: rapid.StringMatching(`[a-z0-9][a-z0-9.]{0,8}`).Draw(t, "version"), MinEngines: rapid.IntRange(0, 64).Draw(t, "min")}
	}
	for i := range serviceCount {
		name := fmt.Sprintf("service-%d", i)
		services = append(services, name)
		doc.Services[name] = drawService(t, models)
	}
	for i := range rapid.IntRange(0, 40).Draw(t, "organisations") {
		o := Organisation{
			Keys:              []string{},
			Weight:            rapid.Float64Range(0.001, 1000).Draw(t, "weight"),
			RequestsPerSecond: rapid.Float64Range(0, 1e6).Draw(t, "rate"),
			Concurrent:        rapid.IntRange(0, 1000).Draw(t, "concurrent"),
		}
		for k := range rapid.IntRange(0, 3).Draw(t, "keys") {
			o.Keys = append(o.Keys, KeyHash(fmt.Sprintf("key %d of %d", k, i)))
		}
		if len(services) > 0 && rapid.Bool().Draw(t, "restricted") {
			o.Services = []string{rapid.SampledFrom(services).Draw(t, "service")}
		}
		doc.Organisations[fmt.Sprintf("organisation-%d", i)] = o
	}
	return doc
}

// drawService draws a valid service that may use the models.
func drawService(t *rapid.T, models []string) Service {
	s := Service{Kind: KindEngine, RetryRatio: rapid.Float64Range(0, 1).Draw(t, "retries")}
	s.MaxTimeLimit = Duration(rapid.Int64Range(int64(time.Second), int64(time.Hour)).Draw(t, "max"))
	s.TimeLimit = Duration(rapid.Int64Range(int64(shortestTimeLimit), int64(s.MaxTimeLimit)).Draw(t, "limit"))
	if rapid.Bool().Draw(t, "plain") {
		s.Kind = KindPlain
		s.IdempotencyWindow = Duration(rapid.Int64Range(int64(time.Second), int64(longestWindow)).Draw(t, "window"))
		for i := range rapid.IntRange(1, 4).Draw(t, "routes") {
			s.Routes = append(s.Routes, Route{Method: "POST", Path: fmt.Sprintf("/path-%d/{id}", i), Idempotent: rapid.Bool().Draw(t, "idempotent")})
		}
		return s
	}
	s.Models = slices.Clone(models[:rapid.IntRange(1, len(models)).Draw(t, "served")])
	s.ShortPromptTokens = rapid.IntRange(1, maxPromptTokens).Draw(t, "short")
	s.Weights = Weights{rapid.Float64Range(0, 1000).Draw(t, "first"), rapid.Float64Range(0.1, 1000).Draw(t, "blocking")}
	s.Fencing = rapid.SampledFrom([]Fencing{FencingChecked, FencingIgnored}).Draw(t, "fencing")
	s.QuarantineTime = Duration(time.Minute)
	return s
}

// largeDocument returns a document with n organisations of the usual size.
func largeDocument(n int) *Document {
	doc := &Document{
		Services:      map[string]Service{"assistant": {Kind: KindEngine, Models: []string{"m"}, QuarantineTime: DefaultQuarantineTime, Fencing: FencingChecked, ShortPromptTokens: 4096, Weights: Weights{1, 1}, TimeLimit: DefaultTimeLimit, MaxTimeLimit: DefaultMaxTimeLimit}},
		Models:        map[string]Model{"m": {Version: "1"}},
		Organisations: make(map[string]Organisation, n),
	}
	for i := range n {
		name := fmt.Sprintf("organisation-%05d", i)
		doc.Organisations[name] = Organisation{
			Keys: []string{KeyHash(name + "a"), KeyHash(name + "b")}, Weight: 1, Services: []string{"assistant"},
			RequestsPerSecond: 5, TokensPerSecond: 10000, Concurrent: 20,
		}
	}
	return doc
}
