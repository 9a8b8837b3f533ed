package confd

import (
	"net/http"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/confd/strict"
)

// Field describes one key of the document.
type Field struct {
	// Path names the key; "*" stands for any name of a map and any element
	// of a list.
	Path string
	// Default is the value of an absent key, or nil when the key has no default.
	Default  any
	Required bool
	Rule     strict.Rule
	// Meaning is one phrase for the schema and the documentation.
	Meaning string
}

// Defaults of the document.
const (
	DefaultTimeLimit         = Duration(time.Minute)
	DefaultMaxTimeLimit      = Duration(10 * time.Minute)
	DefaultShortPromptTokens = 4096
	DefaultRetryRatio        = 0.1
	DefaultQuarantineTime    = Duration(time.Hour)
	DefaultWeight            = 1.0
)

// Limits of the length of lists. They keep any single service, model or
// organisation smaller than MaxPartSize.
const (
	maxListLength = 256
	maxKeys       = 1000
)

// Limits of other values. longestWindow bounds the idempotency window and the
// quarantine time.
const (
	shortestTimeLimit = 100 * time.Millisecond
	longestTimeLimit  = 24 * time.Hour
	longestWindow     = 30 * 24 * time.Hour
	maxPromptTokens   = 1 << 20
	maxWeight         = 1000
	maxMinEngines     = 64
	maxRequestRate    = 1e6
	maxTokenRate      = 1e9
	maxConcurrent     = 1e6
)

// Fields returns every key of the document with its rule and default. The
// defaults of keys for engine services do not apply to plain services.
func Fields() []Field {
	return slices.Concat(topLevelFields(), organisationFields(), serviceFields())
}

// topLevelFields returns the top-level keys and those of models.
func topLevelFields() []Field {
	return []Field{
		{Path: "services", Required: true, Rule: serviceNameRule(), Meaning: "services by name"},
		{Path: "models", Rule: modelNameRule(), Meaning: "models by name"},
		{Path: "organisations", Required: true, Rule: organisationNameRule(), Meaning: "organisations by name"},
		{Path: "models.*.version", Required: true, Rule: strict.Matching(`^[A-Za-z0-9][A-Za-z0-9._+-]{0,127}$`, "1 to 128 letters, digits, dots, hyphens, underscores and plus signs"), Meaning: "version that engines must serve"},
		{Path: "models.*.adapters", Rule: strict.DistinctItems(maxListLength), Meaning: "adapters that engines load with the model"},
		{Path: "models.*.adapters.*", Rule: modelNameRule(), Meaning: "name of an adapter"},
		{Path: "models.*.min_engines", Default: 0, Rule: strict.Between(0, maxMinEngines), Meaning: "engines of each cell that keep the model loaded"},
	}
}

func organisationFields() []Field {
	return []Field{
		{Path: "organisations.*.keys", Rule: strict.MaxItems(maxKeys), Meaning: "hashes of API keys, as printed by verbenapierctl key hash"},
		{Path: "organisations.*.keys.*", Rule: keyHashRule(), Meaning: "hash of an API key"},
		{Path: "organisations.*.weight", Default: DefaultWeight, Rule: strict.Above(0, maxWeight), Meaning: "share relative to other organisations"},
		{Path: "organisations.*.services", Rule: strict.DistinctItems(maxListLength), Meaning: "services the organisation may use; all when empty"},
		{Path: "organisations.*.services.*", Rule: serviceNameRule(), Meaning: "name of a service"},
		{Path: "organisations.*.requests_per_second", Default: 0.0, Rule: strict.Between(0, maxRequestRate), Meaning: "limit over all hosts; 0 means no limit"},
		{Path: "organisations.*.tokens_per_second", Default: 0.0, Rule: strict.Between(0, maxTokenRate), Meaning: "limit over all hosts; 0 means no limit"},
		{Path: "organisations.*.concurrent", Default: 0, Rule: strict.Between(0, maxConcurrent), Meaning: "requests in flight over all hosts; 0 means no limit"},
	}
}

func serviceFields() []Field {
	return []Field{
		{Path: "services.*.kind", Required: true, Rule: strict.OneOf(string(KindEngine), string(KindPlain)), Meaning: "what the upstreams are"},
		{Path: "services.*.models", Rule: strict.DistinctItems(maxListLength), Meaning: "models of an engine service"},
		{Path: "services.*.models.*", Rule: modelNameRule(), Meaning: "name of a model"},
		{Path: "services.*.time_limit", Default: DefaultTimeLimit, Rule: strict.DurationBetween(shortestTimeLimit, longestTimeLimit), Meaning: "time limit of a request that states none"},
		{Path: "services.*.max_time_limit", Default: DefaultMaxTimeLimit, Rule: strict.DurationBetween(shortestTimeLimit, longestTimeLimit), Meaning: "largest time limit a request may state"},
		{Path: "services.*.short_prompt_tokens", Default: DefaultShortPromptTokens, Rule: strict.Optional(strict.Between(1, maxPromptTokens)), Meaning: "largest prompt that counts as short; engine services only"},
		{Path: "services.*.weights", Meaning: "what the scheduler favours; engine services only"},
		{Path: "services.*.weights.time_to_first_token", Default: 1.0, Rule: strict.Between(0, maxWeight), Meaning: "relative weight of the time to first token"},
		{Path: "services.*.weights.head_of_line_blocking", Default: 1.0, Rule: strict.Between(0, maxWeight), Meaning: "relative weight of short requests waiting behind long ones"},
		{Path: "services.*.fencing", Default: FencingIgnored, Rule: strict.Optional(strict.OneOf(string(FencingChecked), string(FencingIgnored))), Meaning: "what engines do with an old fencing number; engine services only"},
		{Path: "services.*.routes", Rule: strict.MaxItems(maxListLength), Meaning: "calls of a plain service; other calls are refused"},
		{Path: "services.*.routes.*.method", Required: true, Rule: strict.OneOf(http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions), Meaning: "HTTP method"},
		{Path: "services.*.routes.*.path", Required: true, Rule: strict.Matching(`^/[A-Za-z0-9._~!$'()*+,;=:@%/{}-]{0,255}$`, `a path pattern of net/http.ServeMux, such as "/bookings/{id}", of at most 256 characters`), Meaning: "path pattern below the service"},
		{Path: "services.*.routes.*.idempotent", Default: false, Meaning: "whether the call may be repeated"},
		{Path: "services.*.idempotency_window", Rule: strict.Optional(strict.DurationBetween(time.Second, longestWindow)), Meaning: "how long a resend with the same key is valid; required with a route that is not idempotent"},
		{Path: "services.*.retry_ratio", Default: DefaultRetryRatio, Rule: strict.Between(0, 1), Meaning: "retries allowed for each admitted request"},
		{Path: "services.*.quarantine_time", Default: DefaultQuarantineTime, Rule: strict.Optional(strict.DurationBetween(time.Second, longestWindow)), Meaning: "how long a prompt that crashed engines is refused; engine services only"},
	}
}

// rules returns the rules of Fields by path.
func rules() strict.Rules {
	out := strict.Rules{}
	for _, f := range Fields() {
		out[f.Path] = f.Rule
	}
	return out
}

func serviceNameRule() strict.Rule {
	return strict.Matching(`^[a-z0-9][a-z0-9-]{0,62}$`, "a name of 1 to 63 lower-case letters, digits and hyphens")
}

func modelNameRule() strict.Rule {
	return strict.Matching(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`, "a name of 1 to 128 letters, digits, dots, colons, hyphens and underscores")
}

func organisationNameRule() strict.Rule {
	return strict.Matching(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`, "a name of 1 to 128 letters, digits, dots, hyphens and underscores")
}

// keyHashRule hides the value in messages, because an operator may have entered the
// API key itself in place of its hash.
func keyHashRule() strict.Rule {
	r := strict.Matching(`^sha256:[0-9a-f]{64}$`, `"sha256:" and 64 hexadecimal digits, as printed by verbenapierctl key hash`)
	r.Secret = true
	return r
}
