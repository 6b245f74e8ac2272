// Command _rig runs one case of the review: it starts routers as the deploy file does, with a
// stand-in of the platform's store, stand-ins of replicas and clients around them, all on
// loopback, and checks one rule by what clients and replicas have seen. It exits with 1 if the
// rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases maps the name of a case to its function, which returns whether the rule held.
var cases = map[string]func(r *rig) (held bool, err error){
	"revoked-key": revokedKey,
	"stale-age":   staleAge,
	"half-closed": halfClosed,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*rig) (bool, error), record string) int {
	r, err := newRig(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		return exitNotRun
	}
	defer r.close()
	held, err := play(r)
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		return exitNotRun
	case !held:
		r.say("result: the rule was broken")
		return exitBroken
	}
	r.say("result: the rule held")
	return exitHeld
}
