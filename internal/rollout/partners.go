package rollout

import (
	"slices"
	"time"
)

// failure is the retry state of a partner that didn't answer.
type failure struct {
	retryAt time.Time
	delay   time.Duration
}

// partners chooses which members to keep links to.
type partners struct {
	failed map[ID]failure
}

// recordFailure excludes a partner until a delay has passed, which doubles with
// each failure.
func (p *partners) recordFailure(now time.Time, id ID, t Tuning) {
	f := p.failed[id]
	f.delay = min(max(2*f.delay, t.RetryMin), t.RetryMax)
	f.retryAt = now.Add(f.delay)
	p.failed[id] = f
}

// clearFailure resets the retry state of a partner.
func (p *partners) clearFailure(id ID) { delete(p.failed, id) }

func (p *partners) usable(now time.Time, m Member) bool {
	f, failed := p.failed[m.ID()]
	return !failed || !now.Before(f.retryAt)
}

// choose returns the current partners. The first one in another failure domain
// is of the same region, if there is one, and the second is in a different
// failure domain than the first. Where too few members are local or remote, the
// other kind fills in.
func (p *partners) choose(now time.Time, ms *membership, t Tuning) []Member {
	total := t.LocalPartners + t.RemotePartners
	chosen := make([]Member, 0, total)
	add := func(from []Member, most int, match func(Member) bool) {
		for _, m := range from {
			if len(chosen) >= most {
				return
			}
			if match(m) && !slices.Contains(chosen, m) && p.usable(now, m) {
				chosen = append(chosen, m)
			}
		}
	}
	add(ms.local, t.LocalPartners, anyMember)
	inside := len(chosen)
	add(ms.remote, min(inside+1, total), func(m Member) bool { return m.Region == ms.self.Region })
	add(ms.remote, min(inside+1, total), anyMember)
	if len(chosen) > inside {
		first := chosen[inside].FailureDomain
		add(ms.remote, min(inside+2, total), func(m Member) bool { return m.FailureDomain != first })
	}
	add(ms.remote, total, anyMember)
	add(ms.local, total, anyMember)
	return chosen
}

func anyMember(Member) bool { return true }
