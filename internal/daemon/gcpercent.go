package daemon

import (
	"os"
	"runtime/debug"
)

// routerAgentGCPercent lets the heap of routers and agents grow to three times the live size
// before a collection. They hold a few megabytes of live data and allocate a lot, so at Go's
// default of 100 the garbage collector runs dozens of times a second; design note 0009 has the
// measurements.
const routerAgentGCPercent = 200

// gcPercentEnv is the standard Go variable with which operators override the percentage.
const gcPercentEnv = "GOGC"

// setGCPercent sets the garbage collection percentage unless GOGC is set.
func setGCPercent(percent int) {
	if _, set := os.LookupEnv(gcPercentEnv); !set {
		debug.SetGCPercent(percent)
	}
}
