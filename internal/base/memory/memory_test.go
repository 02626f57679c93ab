package memory

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestSmallerOfMachineAndContainer(t *testing.T) {
	const info = "MemTotal:       2048 kB\nMemFree:        1024 kB\n"
	must.Eq(t, 2<<20, smaller(info, "max\n"))
	must.Eq(t, 1<<20, smaller(info, "1048576\n"))
	must.Eq(t, 2<<20, smaller(info, "9999999999\n"))
	must.Eq(t, fallbackBytes, smaller("", ""))
}

func TestProcessHasMemoryAndDescriptors(t *testing.T) {
	must.Positive(t, OfMachine())
	must.Positive(t, Descriptors())
}
