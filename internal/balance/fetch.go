package balance

// minFetch is the least number of tokens to fetch from another endpoint's
// cache rather than read.
const minFetch = 256

// source is the place of the endpoint from which to fetch. Where this router knows of one
// that has all shared parts, that is it. Else it is the home, which has what all routers
// sent there, and for a prompt that is at its home the next in the home's order, which has
// what was sent there while another was the home. One that has some of the parts is no
// better: one router of a hundred sees of most parts only those that nearly all prompts
// have, and fetched these where the home has all. Homes lie in the group that the
// request's kind uses. An endpoint that is kept for others never had such prompts, however
// high it ranks: where a third was kept apart, a third of the fetches asked for what
// wasn't there, and the prompts were read again.
func source(req Request, views, leaving []View, group []int, chosen int) int {
	key := req.Prompt.Home()
	shared := req.Prompt.Shared()
	if key == 0 || shared-views[chosen].Cached < minFetch {
		return -1
	}
	best := -1
	consider := func(i int, v *View) {
		if i == chosen || v.Weight < 1 {
			return
		}
		if best < 0 || betterSource(key, shared, v, viewAt(views, leaving, best)) {
			best = i
		}
	}
	for _, i := range group {
		consider(i, &views[i])
	}
	// The caches of endpoints that leave are still there.
	for i := range leaving {
		consider(len(views)+i, &leaving[i])
	}
	return best
}

func viewAt(views, leaving []View, i int) *View {
	if i < len(views) {
		return &views[i]
	}
	return &leaving[i-len(views)]
}

// betterSource says whether a more probably has all shared parts cached than b.
func betterSource(key uint64, shared int, a, b *View) bool {
	if hasA, hasB := a.Cached >= shared, b.Cached >= shared; hasA != hasB {
		return hasA
	}
	return rendezvous(key, a.Endpoint) > rendezvous(key, b.Endpoint)
}
