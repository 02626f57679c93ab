// Command skylarkedge is the router on the users' platform.
package main

import (
	"os"

	"github.com/skylarkquay/skylarkquay/internal/app/edge"
)

func main() {
	os.Exit(edge.Main(os.Args[1:], os.Stdout, os.Stderr))
}
