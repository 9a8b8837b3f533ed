package poison

import "github.com/verbenapier/verbenapier/internal/plat"

// MethodPush tells a peer about suspects and records.
const MethodPush = "poison.push"

// PushParams are the parameters of poison.push.
type PushParams struct {
	// Marks are suspects that are not committed yet.
	Marks []Mark `json:"marks,omitempty"`
	// Shards are committed records.
	Shards []ShardState `json:"shards,omitempty"`
	// WantAll asks for all records of the peer, for a node that starts while
	// the platform is down.
	WantAll bool `json:"want_all,omitempty"`
}

// ShardState is all records of one platform key.
type ShardState struct {
	Shard    int           `json:"shard"`
	Revision plat.Revision `json:"revision"`
	Records  []Record      `json:"records"`
}

// PushResult is the result of poison.push. Loaded says that Shards and Marks
// are what the peer knows; they are set only for WantAll.
type PushResult struct {
	Loaded bool         `json:"loaded"`
	Shards []ShardState `json:"shards,omitempty"`
	Marks  []Mark       `json:"marks,omitempty"`
}
