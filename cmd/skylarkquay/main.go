// Command skylarkquay is the router daemon; one runs on each entry instance.
package main

import (
	"os"

	"github.com/skylarkquay/skylarkquay/internal/app/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
