package balance

// prefixHome finds the endpoint that all routers prefer for a prefix: the one
// with the highest rendezvous hash of prefix and endpoint. It returns false
// for a request without a prefix.
func prefixHome(prefix uint64, views []View) (int, bool) {
	if prefix == 0 {
		return 0, false
	}
	home, found := 0, false
	var best uint64
	for i := range views {
		if views[i].Weight < 1 {
			continue // its cache is cold, or it is shed
		}
		rank := rendezvous(prefix, views[i].Endpoint)
		if !found || rank > best {
			home, best, found = i, rank, true
		}
	}
	return home, found
}

// mix is the finalizer of SplitMix64: every bit of x moves every bit of the
// result.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
