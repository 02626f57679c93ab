// Package main starts routers as processes between stand-ins and judges one case of the review by what callers and upstreams see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to the function that plays it. It returns whether the rule was broken.
var cases = map[string]func(b *bench) (bool, error){
	"freeze": playFreeze,
	"relay":  playRelay,
	"drill":  playDrill,
	"forged": playForged,
	"lease":  playLease,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	b, err := newBench(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	go b.endEarly()
	broken, err := cases[name](b)
	switch {
	case err != nil:
		b.notef("not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		b.notef("verdict: the rule was broken")
		return exitBroken
	default:
		b.notef("verdict: the rule held")
		return exitHeld
	}
}

// endEarly ends all processes when this one is told to stop, or when the case takes too long.
func (b *bench) endEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-stop:
	case <-time.After(maxTime):
	}
	b.notef("not run: ended early")
	b.close()
	os.Exit(exitNotRun)
}
