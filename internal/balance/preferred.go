package balance

// preferredEndpoint returns the index of the endpoint that all routers prefer for the prompt's
// shared parts, -1 if it has none.
func preferredEndpoint(req Request, views []View, group []int) int {
	key := req.Prompt.SharedPrefixID()
	if key == 0 {
		return -1
	}
	preferred, best := group[0], rendezvous(key, views[group[0]].Endpoint)
	for _, i := range group[1:] {
		if hash := rendezvous(key, views[i].Endpoint); hash > best {
			preferred, best = i, hash
		}
	}
	return preferred
}
