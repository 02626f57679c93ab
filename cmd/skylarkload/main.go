// Command skylarkload replays recorded traces, load-tests running routers, and runs the whole system on embedded stand-ins.
package main

import (
	"os"

	"github.com/skylarkquay/skylarkquay/internal/app/trials"
)

func main() {
	os.Exit(trials.Main(os.Args[1:], os.Stdout, os.Stderr))
}
