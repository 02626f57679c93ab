package fleet

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"
)

// The bounds of an entry. The platform's own are far below them.
const (
	// maxNameBytes bounds each text of an entry. Messages between instances hold many entries.
	maxNameBytes = 200
	maxModels    = 64
	maxSlots     = 1 << 16
	maxCold      = time.Hour
)

// errNames means that a text of an entry is too long, or that it has no service.
var errNames = errors.New("a name is missing or too long")

// Check returns why an entry names no upstream that can be used, or nil. Another writer may have written it.
func (e *Entry) Check() error {
	for _, name := range []string{e.ID, e.Service, e.Address, e.Zone, e.Build} {
		if len(name) > maxNameBytes {
			return errNames
		}
	}
	if e.ID == "" || e.Service == "" {
		return errNames
	}
	if e.State != Ready && e.State != Draining {
		return fmt.Errorf("the state %.20q is unknown", e.State)
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		return fmt.Errorf("%d slots", e.Slots)
	}
	if e.Cold < 0 || e.Cold > maxCold {
		return fmt.Errorf("cold for %s", e.Cold)
	}
	if err := checkWeights(e.Weights); err != nil {
		return err
	}
	return checkAddress(e.Address)
}

func checkWeights(weights map[string]int64) error {
	if len(weights) > maxModels {
		return fmt.Errorf("%d models", len(weights))
	}
	for model, version := range weights {
		if len(model) > maxNameBytes {
			return errNames
		}
		if version < 0 {
			return fmt.Errorf("version %d of model %s", version, model)
		}
	}
	return nil
}

// checkAddress checks that an address is that of one host, by number, with a port.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("the address %s is not that of a host", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("the port of %s is out of range", address)
	}
	return nil
}
