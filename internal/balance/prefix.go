package balance

// preferredForPrefix returns the endpoint that all routers prefer for a prefix: the one with the
// highest rendezvous hash of prefix and endpoint. It returns false for a request without a
// prefix.
func preferredForPrefix(prefix uint64, views []View) (int, bool) {
	if prefix == 0 {
		return 0, false
	}
	preferred, found := 0, false
	var best uint64
	for i := range views {
		if views[i].Weight < 1 {
			continue // cold cache, or ejected
		}
		hash := rendezvous(prefix, views[i].Endpoint)
		if !found || hash > best {
			preferred, best, found = i, hash, true
		}
	}
	return preferred, found
}

// mix is the finalizer of SplitMix64: every bit of x affects every bit of the result.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
