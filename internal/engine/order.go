package engine

// OrderKind names an order to an engine.
type OrderKind string

// The orders that engines accept.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderAdapter OrderKind = "adapter"
	OrderRole    OrderKind = "role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	// Fence is the fencing number of whoever gives the order.
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}
