// Command skylarkstand runs the stand-ins for the platform, an engine or a plain service.
package main

import (
	"os"

	"github.com/skylarkquay/skylarkquay/internal/app/stands"
)

func main() {
	os.Exit(stands.Main(os.Args[1:], os.Stderr))
}
