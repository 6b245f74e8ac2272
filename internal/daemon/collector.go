package daemon

import (
	"os"
	"runtime/debug"
)

// defaultGCPercent lets the heap grow to three times the live size before a collection.
// Routers and agents hold a few megabytes of live data and allocate a lot, so at the default
// of 100 the garbage collector runs dozens of times a second; see note 0009 for the
// measurements.
const defaultGCPercent = 200

// gcPercentEnv is the standard Go variable with which operators override the percentage.
const gcPercentEnv = "GOGC"

// setGCPercent sets the garbage collection percentage unless GOGC is set.
func setGCPercent(percent int) {
	if _, set := os.LookupEnv(gcPercentEnv); !set {
		debug.SetGCPercent(percent)
	}
}
