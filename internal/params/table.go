package params

import (
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/pkg/confd/strict"
)

// Entry is a row of the table of settings.
type Entry struct {
	// Key is the path in the file, with dots between its parts.
	Key string
	// Default is the value of an absent key; nil when there is none.
	Default any
	// Required keys have no default and must be given.
	Required bool
	Rule     strict.Rule
	// Meaning describes the setting in one phrase, for the settings reference.
	Meaning string
}

// The maximum values of some settings, and the default of cell_engines.
const (
	maxBodyBytes   = 256 << 20
	maxHeaderBytes = 1 << 20
	maxRequests    = 1 << 20
	maxCellEngines = 64
	// With defaultCellEngines, a node needs at most 3.8% of a core to schedule one
	// cell and to handle the requests that the node accepts from callers.
	defaultCellEngines = 32
)

// Table returns every setting of the daemon with its default and rule.
func Table() []Entry {
	return []Entry{
		{Key: "name", Required: true, Rule: name(), Meaning: "unique name of the host; the certificate of a peer carries it as common name"},
		{Key: "failure_domain", Required: true, Rule: name(), Meaning: "failure domain of the host"},
		{Key: "region", Default: "", Rule: optional(name()), Meaning: "region of the host; empty where there is one region"},
		{Key: "listen", Default: "0.0.0.0:8080", Rule: address(), Meaning: "address and port for callers"},
		{Key: "peer_listen", Default: "0.0.0.0:8081", Rule: address(), Meaning: "address and port for other daemons"},
		{Key: "admin_listen", Default: "0.0.0.0:8082", Rule: address(), Meaning: "address and port for operators"},
		{Key: "advertise", Default: "", Rule: advertised(), Meaning: "IP address told to callers; taken from `listen` when empty"},
		{Key: "peer_advertise", Default: "", Rule: advertised(), Meaning: "IP address told to other daemons; taken from `peer_listen` when empty"},
		{Key: "platform", Required: true, Rule: baseURLs(), Meaning: "base URLs of the platform, tried in turn"},
		{Key: "tls.ca", Default: "", Rule: tlsMaterial(), Meaning: "certificate authority of peers and operators"},
		{Key: "tls.certificate", Default: "", Rule: tlsMaterial(), Meaning: "certificate shown to peers and operators"},
		{Key: "tls.key", Default: "", Rule: secret(), Meaning: "private key of `tls.certificate`"},
		{Key: "caller_tls.certificate", Default: "", Rule: tlsMaterial(), Meaning: "certificate of the callers' port; plain HTTP when empty"},
		{Key: "caller_tls.key", Default: "", Rule: secret(), Meaning: "private key of `caller_tls.certificate`"},
		{Key: "log_level", Default: "info", Rule: strict.OneOf("error", "warn", "info", "debug"), Meaning: "least severe level that is logged"},
		{Key: "log_format", Default: "json", Rule: strict.OneOf("text", "json"), Meaning: "format of log lines"},
		{Key: "max_body_bytes", Default: 16 << 20, Rule: strict.Between(1<<10, maxBodyBytes), Meaning: "largest request body"},
		{Key: "max_header_bytes", Default: 32 << 10, Rule: strict.Between(4<<10, maxHeaderBytes), Meaning: "largest request header"},
		{Key: "read_timeout", Default: 30 * time.Second, Rule: strict.DurationBetween(time.Second, 10*time.Minute), Meaning: "time to read a whole request"},
		{Key: "idle_timeout", Default: 2 * time.Minute, Rule: strict.DurationBetween(time.Second, time.Hour), Meaning: "time an idle caller's connection stays open"},
		{Key: "max_requests", Default: 4096, Rule: strict.Between(1, maxRequests), Meaning: "callers' requests in flight on this host"},
		{Key: "memory_limit_mib", Default: 1024, Rule: memoryLimit(), Meaning: "memory of the process, of which clients may hold half of what lies above 32 MiB, answers of upstreams a sixteenth and those of the platform a quarter; the collector works harder from 60% of it on"},
		{Key: "max_open_files", Default: 1 << 16, Rule: openFiles(), Meaning: "descriptors of the process, at most those that the system allows; a third of those above 200 are for clients' connections"},
		{Key: "drain_timeout", Default: 15 * time.Minute, Rule: strict.DurationBetween(time.Second, 24*time.Hour), Meaning: "time a leaving host waits for its requests; at least the longest time limit of the services"},
		{Key: "cell_engines", Default: defaultCellEngines, Rule: strict.Between(1, maxCellEngines), Meaning: "engines in a cell; the same on all hosts"},
		{Key: "insecure", Default: false, Rule: strict.Rule{Allowed: "true or false"}, Meaning: "no TLS, for local trials; every address must be a loopback address"},
	}
}

// memoryLimit and openFiles return the rules for the limits of the machine.
func memoryLimit() strict.Rule { return strict.Between(32, 1<<20) }

func openFiles() strict.Rule { return strict.Between(256, 1<<20) }

func name() strict.Rule {
	return strict.Matching(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`,
		"1 to 63 letters, digits, dots, hyphens and underscores, starting with a letter or digit")
}

// stringRule returns a rule that accepts the strings for which check returns true.
func stringRule(allowed string, check func(s string) bool) strict.Rule {
	return strict.Rule{Allowed: allowed, Check: func(v reflect.Value) bool { return check(v.String()) }}
}

// optional returns the rule extended to accept the zero value.
func optional(r strict.Rule) strict.Rule {
	check := r.Check
	r.Check = func(v reflect.Value) bool { return v.IsZero() || check(v) }
	r.Allowed += ", or empty"
	return r
}

func address() strict.Rule {
	return stringRule(`an IP address and port, such as "10.0.0.5:8080"`, func(s string) bool {
		_, err := netip.ParseAddrPort(s)
		return err == nil
	})
}

func advertised() strict.Rule {
	return stringRule(`an IP address other than 0.0.0.0 and ::, with or without a port, such as "10.0.0.5"`, func(s string) bool {
		if s == "" {
			return true
		}
		ip, err := netip.ParseAddr(s)
		if err != nil {
			withPort, err := netip.ParseAddrPort(s)
			return err == nil && withPort.Port() != 0 && !withPort.Addr().IsUnspecified()
		}
		return !ip.IsUnspecified()
	})
}

func baseURLs() strict.Rule {
	return strict.Rule{
		Allowed: `a list of base URLs, such as ["https://10.0.0.2:7070"]`,
		Check: func(v reflect.Value) bool {
			urls := v.Interface().([]string)
			return len(urls) > 0 && !slices.ContainsFunc(urls, func(s string) bool { return !isBaseURL(s) })
		},
	}
}

func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" &&
		u.User == nil && u.RawQuery == "" && u.Fragment == ""
}

// tlsMaterial returns the rule for settings that hold a certificate or a key.
func tlsMaterial() strict.Rule {
	return stringRule(`PEM text, "file:" and a path, or "env:" and the name of a variable`, func(s string) bool {
		path, isFile := strings.CutPrefix(s, "file:")
		variable, isEnv := strings.CutPrefix(s, "env:")
		return s == "" || (isFile && path != "") || (isEnv && variable != "") || strings.HasPrefix(s, "-----BEGIN ")
	})
}

// secret returns the rule for TLS settings whose values are hidden in messages.
func secret() strict.Rule {
	r := tlsMaterial()
	r.Secret = true
	return r
}
