package main

import "time"

// revokeBound is the bound on taken keys of the site's sheet, revoke-ms.
const revokeBound = 5 * time.Second

// checkRevoked notes each request that was begun later than the bound after the confirmation and
// ran, and returns whether there was none.
func (r *rig) checkRevoked(calls []*call, confirmed time.Time) (held bool) {
	held = true
	for _, c := range calls {
		runs := r.runsOf(c.id)
		if len(runs) == 0 || c.sent.Sub(confirmed) <= revokeBound {
			continue
		}
		held = false
		r.say("broken    %s, begun %d ms after the confirmation (bound %d ms), ran at %s for tenant %q; its client got: %s", c.id,
			c.sent.Sub(confirmed).Milliseconds(), revokeBound.Milliseconds(), runs[0].replica, runs[0].tenant, c.describe())
	}
	return held
}
