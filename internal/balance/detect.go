package balance

import (
	"cmp"
	"slices"
	"time"

	"coveferry/internal/bundle"
)

// detectOutliers compares the endpoints of each group and ejects outliers, at most once per
// interval unless urgent. The caller must not hold a shard's lock.
func (p *Pool) detectOutliers(now time.Time, urgent bool) {
	if p.cfg.Outlier.Disabled {
		return
	}
	due := p.nextDetectAt.Load()
	if now.UnixNano() < due && !urgent {
		return
	}
	next := now.Add(p.cfg.Outlier.Interval).UnixNano()
	if !p.nextDetectAt.CompareAndSwap(due, next) {
		return // another goroutine compares them
	}
	p.detectMu.Lock()
	defer p.detectMu.Unlock()
	members := p.groupMembers(now)
	for len(members) > 0 {
		n := groupLen(members)
		for _, out := range outliers(members[:n], p.cfg.Outlier) {
			p.eject(now, out.endpoint)
		}
		members = members[n:]
	}
}

// groupMembers returns all endpoints that accept new requests, ordered by group and name.
func (p *Pool) groupMembers(now time.Time) []groupMember {
	var members []groupMember
	for i := range p.shards {
		members = p.shards[i].appendGroupMembers(members, now, p.cfg.Outlier)
	}
	slices.SortFunc(members, func(a, b groupMember) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.endpoint, b.endpoint))
	})
	return members
}

func (sh *shard) appendGroupMembers(members []groupMember, now time.Time, o Outlier) []groupMember {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, st := range sh.states {
		if st.leaving {
			continue
		}
		members = append(members, groupMember{
			endpoint:     name,
			group:        st.group,
			service:      st.slotTime(),
			firstToken:   st.firstToken,
			samples:      st.health.samples,
			failureShare: st.health.failureShare,
			ejected:      st.health.weight(now, o) == 0,
		})
	}
	return members
}

func groupLen(members []groupMember) int {
	n := slices.IndexFunc(members, func(p groupMember) bool { return p.group != members[0].group })
	if n < 0 {
		return len(members)
	}
	return n
}

func (p *Pool) eject(now time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	if !known {
		return
	}
	st.health.eject(now, p.cfg.Outlier)
	st.avgRunning, st.avgDrainRate, st.firstToken = 0, 0, 0
}

// endpointGroup names the group of endpoints that c is compared with: those of the same first model,
// or else of the same first service.
func endpointGroup(c *bundle.Endpoint) string {
	if len(c.Models) > 0 {
		return "model " + c.Models[0]
	}
	if len(c.Services) > 0 {
		return "service " + c.Services[0]
	}
	return "plain"
}
