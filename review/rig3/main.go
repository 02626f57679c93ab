// Command rig3 plays the cases of the third review: it starts routers and runners as processes and speaks to the routers as clients do.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxCaseTime ends a case that hangs.
const maxCaseTime = 110 * time.Second

var cases = map[string]func(r *rig) (broken bool, err error){
	"reborn": playReborn,
	"frozen": playFrozen,
	"takeup": playTakeup,
	"herd":   playHerd,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		os.Exit(runRunner(os.Args[2:]))
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE ROUTER RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case with a router program and writes the record.
func play(name, router, record string) int {
	r, err := newRig(router, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	timer := time.AfterFunc(maxCaseTime, func() {
		r.note("the case took too long")
		r.close()
		os.Exit(exitFailed)
	})
	defer timer.Stop()
	broken, err := cases[name](r)
	switch {
	case err != nil:
		r.note("could not run: %s", err)
		return exitFailed
	case broken:
		r.note("result: the rule was broken")
		return exitBroken
	default:
		r.note("result: the rule held")
		return exitHeld
	}
}
