package gate

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/verbenapier/verbenapier/internal/guard"
)

// metricsHandler serves the metrics.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// A failed write means that the client has disconnected.
		_, _ = io.WriteString(w, g.metricsText())
	})
	return mux
}

// metricsText returns the metrics in the text format of Prometheus.
func (g *Gateway) metricsText() string {
	var b strings.Builder
	for _, v := range g.meter.Values() {
		b.WriteString(strings.ReplaceAll(v.Name, ".", "_"))
		if len(v.Tags) > 0 {
			var tags []string
			for name, value := range v.Tags {
				tags = append(tags, fmt.Sprintf("%s=%q", name, value))
			}
			slices.Sort(tags)
			b.WriteString("{" + strings.Join(tags, ",") + "}")
		}
		fmt.Fprintf(&b, " %g\n", v.Value)
	}
	fmt.Fprintf(&b, "verbenapier_log_lines_dropped_total %d\n", g.droppedLines())
	fmt.Fprintf(&b, "verbenapier_panics_contained_total %d\n", guard.Panics())
	fmt.Fprintf(&b, "verbenapier_requests_in_flight %d\n", g.relay.InFlight())
	held, connections := g.quota.Held()
	fmt.Fprintf(&b, "verbenapier_clients_held_bytes %d\n", held)
	fmt.Fprintf(&b, "verbenapier_clients_connections %d\n", connections)
	fmt.Fprintf(&b, "verbenapier_config_age_seconds %g\n", g.feed.Age().Seconds())
	return b.String()
}
