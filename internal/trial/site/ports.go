package site

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/samber/oops"
)

const (
	// firstPort and portCount select ports below the ephemeral range, so that no outgoing connection takes a port between
	// its selection and its use.
	firstPort = 12_000
	portCount = 18_000
	// processStride separates the first ports of different processes.
	processStride = 997
	maxPortTries  = 200
)

// portsTried counts the ports tried by this process.
var portsTried atomic.Int64

// FreeAddress returns a loopback address that is not in use.
func FreeAddress() (string, error) {
	for range maxPortTries {
		n := int64(os.Getpid())*processStride + portsTried.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", oops.Errorf("no free loopback port in %d tries", maxPortTries)
}
