package daemon

import (
	"math/rand/v2"

	"github.com/verbenapier/verbenapier/internal/entry"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
)

// directory implements entry.Directory from the membership and the host list.
type directory struct {
	members       func() []member.Member
	hosts         *hosts
	failureDomain string
}

// Addresses returns the addresses of the entry hosts that take new requests:
// the members that are alive and that the host list does not show as leaving.
// Every member is an entry host, since only entry hosts run this daemon. The
// order is random, so that callers spread over the hosts.
func (d *directory) Addresses() []entry.Address {
	leaving := map[string]bool{}
	for _, h := range d.hosts.ByRole(plat.RoleEntry, "") {
		if h.State == plat.HostLeaving {
			leaving[h.Name] = true
		}
	}
	list := []entry.Address{}
	for _, m := range d.members() {
		if m.State == member.Alive && !leaving[m.Name] {
			list = append(list, entry.Address{Address: m.Address, FailureDomain: m.FailureDomain})
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// Upstreams returns the addresses of the live plain upstreams of a service in
// random order, those in this host's failure domain first.
func (d *directory) Upstreams(service string) []string {
	var sameDomain, otherDomains []string
	for _, h := range d.hosts.ByRole(plat.RolePlain, service) {
		if h.State != plat.HostLive {
			continue
		}
		if h.FailureDomain == d.failureDomain {
			sameDomain = append(sameDomain, h.Address)
		} else {
			otherDomains = append(otherDomains, h.Address)
		}
	}
	for _, list := range [][]string{sameDomain, otherDomains} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(sameDomain, otherDomains...)
}
