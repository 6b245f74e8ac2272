package balance

// minFetchTokens is the minimum number of tokens that are fetched from another endpoint's cache
// instead of recomputed.
const minFetchTokens = 256

// fetchSource returns the index of the endpoint to fetch cached prompt parts from, or -1. An
// endpoint to which this router sent all shared parts comes first. Otherwise it is the preferred
// endpoint, which has what all routers sent there. For a prompt that goes to its preferred
// endpoint it is the next one in rendezvous order, which has what was sent there while it was the
// preferred one.
//
// An endpoint with some of the parts is no better: one router of a hundred knows mostly of parts
// that nearly all prompts have in common, and would fetch those although the preferred endpoint
// has all parts. The source belongs to the group of the request's kind, because endpoints
// dedicated to other kinds never received such prompts, whatever their rank: with a third of the
// endpoints dedicated, a third of the fetches would ask for parts that aren't cached, and the
// prompts would be recomputed.
func fetchSource(req Request, views, leaving []View, group []int, chosen int) int {
	key := req.Prompt.SharedPrefixID()
	shared := req.Prompt.SharedTokens()
	if key == 0 || shared-views[chosen].CachedTokens < minFetchTokens {
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
	// Leaving endpoints still serve their caches.
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

// betterSource reports whether a is more likely than b to have all shared parts cached.
func betterSource(key uint64, shared int, a, b *View) bool {
	if hasA, hasB := a.CachedTokens >= shared, b.CachedTokens >= shared; hasA != hasB {
		return hasA
	}
	return newPreference(key, a).above(newPreference(key, b))
}
