package params

import (
	"time"

	"github.com/verbenapier/verbenapier/pkg/confd/strict"
)

// Gateway holds the settings of verbenapier-gateway.
type Gateway struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Listen is the address for callers, ReadyListen for readiness checks,
	// PeerListen for other gateways, DirectoryListen for callers that ask for
	// the addresses of gateways, and MetricsListen for metrics and the state
	// dump.
	Listen          string `json:"listen"`
	ReadyListen     string `json:"ready_listen"`
	PeerListen      string `json:"peer_listen"`
	DirectoryListen string `json:"directory_listen"`
	MetricsListen   string `json:"metrics_listen"`
	// Advertise and PeerAdvertise are the addresses announced to callers and to
	// other gateways. Each may be given without a port or left empty;
	// LoadGateway completes it from Listen or PeerListen.
	Advertise     string `json:"advertise"`
	PeerAdvertise string `json:"peer_advertise"`
	// Seeds are peer addresses of gateways to join. They may be out of date.
	Seeds []string `json:"seeds"`
	// Store is the address of the platform's metadata store.
	Store string `json:"store"`
	// MemoryLimit is the memory available to the process, in MiB.
	MemoryLimit int `json:"memory_limit_mib"`
	// MaxOpenFiles is the number of descriptors that the process may have open.
	MaxOpenFiles int `json:"max_open_files"`
	// ProcessorShare is the processor time that the process may use, in cores; a
	// fraction is part of a core.
	ProcessorShare float64 `json:"processor_share"`
	// GracePeriod is the time from the signal to stop until the process is
	// killed.
	GracePeriod time.Duration `json:"grace_period"`
	// AddressLifetime is how long callers may cache the addresses of gateways.
	AddressLifetime time.Duration `json:"address_lifetime"`
	// RetryRatio and RetryAllowance limit the retries for a service within
	// RetryWindow, over all gateways: at most RetryRatio times the number of
	// requests, plus RetryAllowance.
	RetryRatio     float64       `json:"retry_ratio"`
	RetryAllowance int           `json:"retry_allowance"`
	RetryWindow    time.Duration `json:"retry_window"`
	// ReservationLimit is the longest time for which engines reserve memory.
	ReservationLimit time.Duration `json:"reservation_limit"`
	LogLevel         string        `json:"log_level"`
	// MaxLogRate is the limit on log lines per second. Lines beyond it are dropped
	// and counted.
	MaxLogRate int `json:"log_lines_per_second"`
}

// GatewayTable returns every setting of the gateway with its default and rule.
func GatewayTable() []Entry {
	return []Entry{
		{Key: "name", Required: true, Rule: name(), Meaning: "unique name of the host"},
		{Key: "failure_domain", Required: true, Rule: name(), Meaning: "failure domain of the host"},
		{Key: "region", Default: "", Rule: optional(name()), Meaning: "region of the host"},
		{Key: "listen", Required: true, Rule: address(), Meaning: "address and port for callers"},
		{Key: "ready_listen", Required: true, Rule: address(), Meaning: "address and port for readiness checks"},
		{Key: "peer_listen", Required: true, Rule: address(), Meaning: "address and port for other gateways, on a network that callers cannot reach"},
		{Key: "directory_listen", Required: true, Rule: address(), Meaning: "address and port for callers that ask for addresses"},
		{Key: "metrics_listen", Required: true, Rule: address(), Meaning: "address and port for metrics and the state dump"},
		{Key: "advertise", Default: "", Rule: advertised(), Meaning: "IP address told to callers; taken from `listen` when empty"},
		{Key: "peer_advertise", Default: "", Rule: advertised(), Meaning: "IP address told to other gateways; taken from `peer_listen` when empty"},
		{Key: "seeds", Default: []string{}, Rule: strict.Rule{Allowed: "a list of addresses of other gateways"}, Meaning: "peer addresses of gateways to join"},
		{Key: "store", Required: true, Rule: address(), Meaning: "address of the platform's metadata store"},
		{Key: "memory_limit_mib", Default: 256, Rule: memoryLimit(), Meaning: "memory of the process, of which clients may hold half of what lies above 32 MiB, answers of upstreams a sixteenth and those of the platform a quarter; the collector works harder from 60% of it on"},
		{Key: "max_open_files", Default: 4096, Rule: openFiles(), Meaning: "descriptors of the process, at most those that the system allows; an eighth of those above 200 are for tunnels of peers, a third of the rest for clients' connections"},
		{Key: "processor_share", Default: 1.0, Rule: strict.Above(0, 1024), Meaning: "processor time of the process, in cores; hosts with more of it schedule engines and watch the store"},
		{Key: "grace_period", Default: 8 * time.Second, Rule: strict.DurationBetween(time.Second, time.Hour), Meaning: "time from the signal to stop until the process is killed"},
		{Key: "address_lifetime", Default: time.Second, Rule: strict.DurationBetween(100*time.Millisecond, time.Minute), Meaning: "how long callers may keep an answer with addresses"},
		{Key: "retry_ratio", Default: 0.2, Rule: strict.Between(0, 1), Meaning: "second attempts per request of a service, over all gateways"},
		{Key: "retry_allowance", Default: 100, Rule: strict.Between(0, 1<<20), Meaning: "second attempts of a service beyond the ratio in a window, over all gateways"},
		{Key: "retry_window", Default: 10 * time.Second, Rule: strict.DurationBetween(time.Second, time.Hour), Meaning: "window of the retry budget"},
		{Key: "reservation_limit", Default: 20 * time.Second, Rule: strict.DurationBetween(time.Second, time.Hour), Meaning: "longest reservation of memory that engines grant"},
		{Key: "log_level", Default: "info", Rule: strict.OneOf("error", "warn", "info", "debug"), Meaning: "least severe level that is logged"},
		{Key: "log_lines_per_second", Default: 400, Rule: strict.Between(1, 1<<20), Meaning: "log lines of a second beyond which lines are dropped and counted; a tenth is kept for warnings"},
	}
}

// ReadGateway loads the settings of a gateway from a file, or from standard input
// when path is "-". If the file cannot be read, the error is NotFound; if the
// settings are refused, it is Invalid and wraps strict.Problems.
func ReadGateway(path string) (Gateway, error) {
	name, data, err := readFile(path)
	if err != nil {
		return Gateway{}, err
	}
	return LoadGateway(name, data)
}

// LoadGateway returns the settings in data, with defaults for absent keys and
// overrides from the environment. The name appears in errors. Errors are Invalid
// and wrap strict.Problems, which lists every problem.
func LoadGateway(name string, data []byte) (Gateway, error) {
	var g Gateway
	source, err := decode(name, data, &g, GatewayTable())
	if err != nil {
		return Gateway{}, err
	}
	overrideFromEnv(source, &g, GatewayTable())
	check(source, &g, GatewayTable())
	completeAdvertised(source, []advertisement{
		{"advertise", "listen", g.Listen, &g.Advertise},
		{"peer_advertise", "peer_listen", g.PeerListen, &g.PeerAdvertise},
	})
	if err := source.Err(); err != nil {
		return Gateway{}, err
	}
	return g, nil
}
