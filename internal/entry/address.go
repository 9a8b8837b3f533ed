package entry

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

// addressLifetime is how long callers may use the list of addresses before
// they must fetch it again.
const addressLifetime = 30 * time.Second

type addressesResponse struct {
	Addresses []Address `json:"addresses"`
	Lifetime  string    `json:"lifetime"`
}

// addresses responds with the entry hosts to use, those in the caller's
// failure domain first. The caller may name its failure domain; the default is
// that of this host. The route needs no API key, since the list reveals
// nothing about organisations.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	domain := r.URL.Query().Get("failure_domain")
	if domain == "" {
		domain = s.options.FailureDomain
	}
	list := s.options.Directory.Addresses()
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].FailureDomain == domain && list[j].FailureDomain != domain
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(addressesResponse{Addresses: list, Lifetime: addressLifetime.String()})
}
