package balance

// homeOf is the endpoint that all routers prefer for the prompt's shared parts,
// -1 if it has none.
func homeOf(req Request, views []View, group []int) int {
	key := req.Prompt.Home()
	if key == 0 {
		return -1
	}
	home, best := group[0], rendezvous(key, views[group[0]].Endpoint)
	for _, i := range group[1:] {
		if rank := rendezvous(key, views[i].Endpoint); rank > best {
			home, best = i, rank
		}
	}
	return home
}
