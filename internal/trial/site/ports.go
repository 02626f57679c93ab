package site

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/samber/oops"
)

const (
	// firstPort and ports are below the range from which systems draw the ports of outgoing connections, so that none of
	// those takes an address between its choice and its use.
	firstPort = 12_000
	ports     = 18_000
	// spacing sets the starts of different processes apart.
	spacing   = 997
	portTries = 200
)

// portsTaken counts the ports that were tried in this process.
var portsTaken atomic.Int64

// FreeAddress returns a loopback address that nobody listens on.
func FreeAddress() (string, error) {
	for range portTries {
		n := int64(os.Getpid())*spacing + portsTaken.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%ports)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", oops.Errorf("no free port in %d tries", portTries)
}
