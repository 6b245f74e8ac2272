package balance

// minFetch is the least number of tokens to fetch from another endpoint's
// cache rather than read.
const minFetch = 256

// Source implements Expecter. The endpoint that all routers prefer for the
// prompt has probably read it; for a prompt that is at its home, the next in the
// home's order has what was sent there while another was the home.
func (p PromptAware) Source(req Request, views []View, chosen int) int {
	key := req.Prompt.Home()
	if key == 0 || req.Prompt.Shared()-views[chosen].Cached < minFetch {
		return -1
	}
	best := -1
	for i := range views {
		if i == chosen || views[i].Weight < 1 {
			continue
		}
		if best < 0 || moreCached(key, &views[i], &views[best]) {
			best = i
		}
	}
	return best
}

// moreCached says whether a has probably more of a prompt cached than b: by what
// this router sent there, and else by the order that all routers follow.
func moreCached(key uint64, a, b *View) bool {
	if a.Cached != b.Cached {
		return a.Cached > b.Cached
	}
	return rendezvous(key, a.Endpoint) > rendezvous(key, b.Endpoint)
}
