// Package params holds the settings of the daemon and of the gateway. A table for
// each lists the keys with their defaults and rules. Settings are read from JSON
// with comments and from the environment.
package params

import "time"

// Settings are the settings of verbenapierd.
type Settings struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Listen, PeerListen and AdminListen are the addresses and ports for
	// callers, for other daemons and for operators.
	Listen      string `json:"listen"`
	PeerListen  string `json:"peer_listen"`
	AdminListen string `json:"admin_listen"`
	// Advertise and PeerAdvertise are the addresses announced to callers and to
	// other daemons. Each may be given without a port or left empty;
	// Load completes it from Listen or PeerListen.
	Advertise     string `json:"advertise"`
	PeerAdvertise string `json:"peer_advertise"`
	// Platform lists base URLs of the platform.
	Platform []string `json:"platform"`
	// TLS secures the connections of peers and operators.
	TLS TLS `json:"tls"`
	// CallerTLS secures the callers' port; without it the port is plain HTTP.
	CallerTLS CallerTLS `json:"caller_tls"`
	LogLevel  string    `json:"log_level"`
	LogFormat string    `json:"log_format"`

	MaxBodyBytes   int           `json:"max_body_bytes"`
	MaxHeaderBytes int           `json:"max_header_bytes"`
	ReadTimeout    time.Duration `json:"read_timeout"`
	IdleTimeout    time.Duration `json:"idle_timeout"`
	// MaxRequests is the maximum number of callers' requests in flight.
	MaxRequests  int           `json:"max_requests"`
	DrainTimeout time.Duration `json:"drain_timeout"`
	// MemoryLimit is the memory available to the process, in MiB.
	MemoryLimit int `json:"memory_limit_mib"`
	// MaxOpenFiles is the number of descriptors that the process may have open.
	MaxOpenFiles int `json:"max_open_files"`
	// CellEngines is the maximum number of engines in a cell.
	CellEngines int `json:"cell_engines"`
	// Insecure turns TLS off; every address must then be a loopback address.
	Insecure bool `json:"insecure"`
}

// TLS names the certificate authority, certificate and key. Each is PEM text,
// "file:" and a path, or "env:" and the name of an environment variable.
type TLS struct {
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// CallerTLS names the certificate and key of the callers' port, in the forms
// of TLS.
type CallerTLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}
