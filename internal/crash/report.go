package crash

// Report states that an engine ended while it ran a request.
type Report struct {
	// Engine identifies the process of the engine, not only its registration.
	Engine  string  `json:"engine"`
	Content Content `json:"content"`
	// Begun is set if the request had begun to be answered. Its shared parts are
	// then sound.
	Begun bool `json:"begun,omitempty"`
	// Suspects are the parts that were on trial, if any.
	Suspects []Part `json:"suspects,omitempty"`
}
