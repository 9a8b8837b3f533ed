package entry

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

// addressLifetime is how long callers may keep the list of addresses.
const addressLifetime = 30 * time.Second

type addressAnswer struct {
	Addresses []Address `json:"addresses"`
	Lifetime  string    `json:"lifetime"`
}

// addresses answers the entry hosts to use, those of the caller's failure
// domain first. The caller may name its domain; the default is that of this
// host. It needs no key, since it tells nothing about organisations.
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
	_ = json.NewEncoder(w).Encode(addressAnswer{Addresses: list, Lifetime: addressLifetime.String()})
}
