package daemon

import (
	"math"
	"runtime/debug"

	"github.com/skylarkquay/skylarkquay/internal/base/memory"
	"github.com/skylarkquay/skylarkquay/internal/conf/option"
	"github.com/skylarkquay/skylarkquay/internal/front/caller"
)

const (
	// requestsDivisor and connectionsDivisor are the divisors of the process's memory that give the memory of requests and of
	// connections. The rest is for responses, the program itself and garbage.
	requestsDivisor    = 5
	connectionsDivisor = 4
	// responsesDivisor is the divisor that gives the memory of upstreams' responses beyond 16 KB each.
	responsesDivisor = 16
	// descriptorsDivisor leaves descriptors to upstreams, peers, stores and operators.
	descriptorsDivisor = 2
	// heapFraction is the fraction of the process's memory that is set as the garbage collector's soft limit.
	heapFraction = 0.5
)

// newCallers bounds what callers may take by the memory and descriptors of the process.
func (r *Router) newCallers() *caller.Conns {
	limits := callerLimits(r.settings, memory.OfMachine(), memory.Descriptors())
	r.log.Info("router: bounds on callers", "connections", limits.Connections, "bytes", limits.Bytes)
	return caller.New(limits, r.log, r.metrics.SubScope("callers"))
}

// callerLimits returns the bounds on callers. Machine is the machine's memory in bytes.
func callerLimits(s option.Settings, machine int64, descriptors int) caller.Limits {
	bytes := memoryBytes(s, machine)
	connections := min(int(bytes/connectionsDivisor/caller.ConnBytes), descriptors/descriptorsDivisor)
	if s.Connections > 0 {
		connections = min(s.Connections, connections)
	}
	return caller.Limits{Connections: connections, Bytes: bytes / requestsDivisor, BodyTimeout: s.BodyTimeout, WriteTimeout: s.WriteTimeout}
}

// memoryBytes returns the memory of the process in bytes.
func memoryBytes(s option.Settings, machine int64) int64 {
	if s.Memory > 0 {
		return int64(s.Memory) << 20
	}
	return machine
}

// limitHeap makes the garbage collector run more often when the process nears its memory. A lower limit of the environment stays.
func limitHeap(bytes int64) {
	limit := int64(heapFraction * float64(bytes))
	if current := debug.SetMemoryLimit(-1); current == math.MaxInt64 || limit < current {
		debug.SetMemoryLimit(limit)
	}
}
