// Command skylarkctl is the operators' client.
package main

import (
	"os"

	"github.com/skylarkquay/skylarkquay/internal/app/opctl"
)

func main() {
	os.Exit(opctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
