// Program rig2 plays the scripted cases of the review: it starts the project's routers as separate
// processes, stands in for the store, the replicas and the clients, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// a case returns how often the rule was broken; it calls fail if it couldn't run.
var cases = map[string]func(r *rig, trouble bool) (broken int){
	"stale-report": staleReport,
	"busy":         busyCheck,
	"evacuated":    evacuated,
	"numbering":    newNumbering,
	"reborn":       rebornBehindCut,
}

// control reports whether the disruption is to be played without the condition that the claim names as the cause:
// with it the rule should hold.
func control() bool { return os.Getenv("CONTROL") == "1" }

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		replicaProcess(os.Args[2:])
		return
	}
	name := flag.String("case", "", "the case to play")
	folder := flag.String("dir", "", "the folder of the case, for record.txt")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	data := filepath.Join("review", "_rig2")
	readNames(data)
	rec, err := newRecord(filepath.Join(*folder, "record.txt"))
	if err != nil {
		fail("%v", err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %t, without the cause: %t", *name, trouble, control())
	broken := play(newRig(data, rec), trouble)
	cleanUp()
	if broken > 0 {
		rec.result("BROKEN: %d times", broken)
		os.Exit(1)
	}
	rec.result("HELD")
}
