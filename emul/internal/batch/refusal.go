package batch

import (
	"fmt"
	"net/http"
)

// Refusal is the error of a call that had no effect. Status is an HTTP status.
// Fence is the engine's fencing number if the call was an order with a lower
// one, and 0 otherwise.
type Refusal struct {
	Status int
	Reason string
	Fence  uint64
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

func refuse(status int, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Reason: fmt.Sprintf(format, args...)}
}

func noMemory(need, free int) *Refusal {
	return refuse(http.StatusTooManyRequests, "%d tokens do not fit in memory: %d are free", need, free)
}
