package soak

// KeptSeed is a seed that once failed.
type KeptSeed struct {
	Seed  uint64
	Cause string
}

// Kept lists the seeds that once failed, which run again before each landing.
func Kept() []KeptSeed {
	return []KeptSeed{
		{Seed: 1, Cause: "a second SIGTERM during a planned stop ended the router at once and cut its streams off"},
		{Seed: 10, Cause: "the soak's own: restarted routers found their ports taken by other connections of the machine"},
	}
}
