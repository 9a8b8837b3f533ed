package poison

import "github.com/verbenapier/verbenapier/internal/plat"

// MethodPush is the peer message that sends pending crash reports and committed
// records.
const MethodPush = "poison.push"

// PushParams are the parameters of poison.push.
type PushParams struct {
	// CrashReports are pending: they are not known to be committed.
	CrashReports []CrashReport `json:"marks,omitempty"`
	// Shards are committed records.
	Shards []ShardState `json:"shards,omitempty"`
	// WantAll asks for all records and pending crash reports of the peer. A node
	// that starts while the platform is down sets it.
	WantAll bool `json:"want_all,omitempty"`
}

// ShardState holds all records of one platform key.
type ShardState struct {
	Shard    int           `json:"shard"`
	Revision plat.Revision `json:"revision"`
	Records  []Record      `json:"records"`
}

// PushResult is the result of poison.push. Its fields are set only for WantAll.
// Loaded reports whether the peer has loaded the records. Without it, Shards and
// CrashReports must not be used.
type PushResult struct {
	Loaded       bool          `json:"loaded"`
	Shards       []ShardState  `json:"shards,omitempty"`
	CrashReports []CrashReport `json:"marks,omitempty"`
}
