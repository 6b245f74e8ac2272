package daemon

import (
	"os"
	"runtime/debug"
)

// collectorPercent lets the heap grow to three times what is live before it is
// collected. Routers and agents hold few megabytes and make much garbage, so at
// the default pace the collector runs dozens of times a second; note 0009 has
// the figures.
const collectorPercent = 200

// environmentPercent is the variable by which operators set the pace.
const environmentPercent = "GOGC"

// paceCollector sets the collector's pace, unless the operator has.
func paceCollector(percent int) {
	if _, set := os.LookupEnv(environmentPercent); !set {
		debug.SetGCPercent(percent)
	}
}
