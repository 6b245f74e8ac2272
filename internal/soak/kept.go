package soak

// RegressionSeed is a seed that once failed, with the cause.
type RegressionSeed struct {
	Seed  uint64
	Cause string
}

// RegressionSeeds returns the seeds that once failed. They run again before each merge.
func RegressionSeeds() []RegressionSeed {
	return []RegressionSeed{
		{Seed: 1, Cause: "a second SIGTERM during a planned stop ended the router at once and interrupted its streams"},
		{Seed: 10, Cause: "a fault of the soak itself: concurrent soaks in one folder overwrote each other's settings files, so that routers used ports of other soaks"},
		{Seed: 7, Cause: "calls to the store with a long answer were aborted as idle while data arrived, since single reads took as long as the idle timeout"},
		{Seed: 5, Cause: "the same cause as seed 7"},
		{Seed: 2, Cause: "net/http retried requests by itself on reused connections"},
		{Seed: 3010, Cause: "an endpoint that restarted behind a proxy was taken for the previous process and got more than the rate limit of a cold endpoint"},
		{Seed: 1005, Cause: "after a reader stalled in the middle of a version, every missed version was read in full"},
		{Seed: 8003, Cause: "routers ignored that endpoints asked them to back off or said in their answers that they leave"},
		{Seed: 4001, Cause: "the same cause as seed 1005, with endpoints that reset connections"},
	}
}
