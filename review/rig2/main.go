package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	maxLength = 118 * time.Second
)

// scenarios are the cases by name. Each returns whether the rule held; without trouble it leaves the disruption out.
var scenarios = map[string]func(s *site, trouble bool) (bool, error){
	"relist": relist,
	"expiry": expiry,
	"roll":   roll,
	"quiet":  quiet,
	"blame":  blame,
}

// routers is how many machines each case has.
var routers = map[string]int{"relist": 3, "expiry": 5, "roll": 5, "quiet": 3, "blame": 3}

// start starts the store and the routers.
func start(name string, out *os.File) (*site, error) {
	routes := []map[string]any{
		route("book", "/book/", "non_idempotent", "bookings", 1),
		route("look", "/look/", "idempotent", "bookings", 2),
		engineRoute("draft", "/draft/", 2, true),
		engineRoute("brief", "/brief/", 1, false),
	}
	s, err := newSite(out, routers[name], routes)
	if err != nil {
		return s, err
	}
	s.record.add("case %s", name)
	return s, nil
}

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return couldNot
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = out.Close() }()
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := start(os.Args[1], out)
	if s != nil {
		defer s.close()
		go endEarly(s)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	ok, err := scenarios[os.Args[1]](s, trouble)
	if err != nil {
		s.record.add("could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if !ok {
		s.record.add("verdict: the rule is broken")
		fmt.Println("broken")
		return broken
	}
	s.record.add("verdict: the rule held")
	fmt.Println("held")
	return held
}

// endEarly ends the case, with all processes that it started, after a signal or when it takes too long.
func endEarly(s *site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxLength):
		fmt.Fprintln(os.Stderr, "the case takes too long")
	}
	s.close()
	os.Exit(couldNot)
}

func main() { os.Exit(play()) }
