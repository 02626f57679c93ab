// Command skylarkstand runs a stand-in for the platform, an engine or a plain service.
package main

import (
	"os"

	"github.com/skylarkquay/skylarkquay/internal/app/stands"
)

func main() {
	os.Exit(stands.Main(os.Args[1:], os.Stderr))
}
