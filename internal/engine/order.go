package engine

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of orders that engines accept.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderAdapter OrderKind = "adapter"
	OrderRole    OrderKind = "role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	// Fence is the fencing number of the sender. Some engines refuse
	// an order whose number is below the highest that they have accepted; others
	// ignore the number.
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}
