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
		{Seed: 10, Cause: "the soak's own: soaks that ran at once in one folder wrote each other's settings files, so that routers took others' ports"},
		{Seed: 7, Cause: "calls to the store whose answer was long were given up as silent while it came, since single reads took as long as the silence that was allowed"},
		{Seed: 5, Cause: "the same"},
		{Seed: 2, Cause: "the HTTP library repeated requests by itself on connections that it had kept"},
		{Seed: 3010, Cause: "an endpoint that started again behind a proxy was taken for the process before, and sent more than a cold one bears"},
		{Seed: 1005, Cause: "after a reader stopped in the middle of a version each version that was missed was read, whole"},
		{Seed: 4001, Cause: "the same, at endpoints that reset connections"},
	}
}
