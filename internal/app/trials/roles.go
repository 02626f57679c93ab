package trials

import "github.com/samber/oops"

// Target deployment and control budget of one instance: cores, bytes of memory, bytes per second on the network.
const (
	instances         = 340.0
	runners           = 1900.0
	regions           = 6.0
	requestsPerSecond = 1700.0
	tokensPerSecond   = 420_000.0
	cachedBlocks      = 82e6
	workspaces        = 2600.0
	changesPerDay     = 5400.0
	secondsPerDay     = 86_400.0

	budgetCPU    = 0.031
	budgetMemory = 128e6
	budgetBytes  = 21_000.0
)

// Design assumptions.
const (
	// limitPartitions is the number of limit partitions of the target deployment.
	limitPartitions    = 384.0
	sharesPerWorkspace = 24.0
	// takesPerRequest is the number of token requests that one language request sends to other holders.
	takesPerRequest = 1.0
	// settlementsPerRequest is the number of settlements that one language request sends to other holders.
	settlementsPerRequest = 1.0
	// heartbeatsPerSecond is the number of heartbeats that an instance sends and receives.
	heartbeatsPerSecond = 6.0
	// nonIdempotentFraction is the fraction of requests that must not be retried.
	nonIdempotentFraction = 0.1
	// correctionFraction is the fraction of placed prompts whose responses differ from the placer's estimate.
	correctionFraction = 0.02
	// loadPollsPerSecond is the number of load reports that an instance polls.
	loadPollsPerSecond = 20.0
	// piecesPerPrompt is the mean number of pieces in a prompt.
	piecesPerPrompt = 6.0
	// storePollSeconds is the interval at which an instance reads the store, leaseCheckSeconds that at which it reads the leases.
	storePollSeconds    = 10.0
	leaseCheckSeconds   = 60.0
	leaseRenewalSeconds = 300.0
	// leaseRowBytes is the size of a lease row on the wire, outcomeBytes that of the report on one prompt.
	leaseRowBytes = 260.0
	outcomeBytes  = 100.0
	nsPerSecond   = 1e9
)

// Role is the cost of one role of an instance in the target deployment.
type Role struct {
	Name string `json:"name"`
	// Control reports whether the role counts against the control budget.
	Control bool `json:"control"`
	// CPU is in cores, Memory in bytes, Bytes in bytes per second, sent and received together.
	CPU    float64 `json:"cpu"`
	Memory float64 `json:"memory"`
	Bytes  float64 `json:"bytes"`
	// Reads and Writes are calls of the table service per second by this instance.
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
	// Mechanism describes the implementation of the role.
	Mechanism string `json:"mechanism"`
}

// estimator evaluates fits by benchmark and metric, and keeps the last lookup that failed.
type estimator struct {
	fits []Fit
	err  error
}

// estimate returns the fitted value of a metric at a size, or 0 when there is no such fit.
func (e *estimator) estimate(benchmark, metric string, size float64) float64 {
	for _, f := range e.fits {
		if f.Benchmark == benchmark && f.Metric == metric {
			return f.At(size)
		}
	}
	e.err = oops.Errorf("no fit for benchmark %s, metric %s", benchmark, metric)
	return 0
}

// computeRoles estimates the cost of each role from the fits.
func computeRoles(fits []Fit) ([]Role, error) {
	e := &estimator{fits: fits}
	requestRate := requestsPerSecond / instances
	tokensPerRequest := tokensPerSecond / requestsPerSecond
	peerCallCPU := e.estimate("PeerCall", "cpu-ns", piecesPerPrompt) / nsPerSecond
	peerCallBytes := e.estimate("PeerCall", "wire-bytes", 0)
	changesPerSecond := changesPerDay / secondsPerDay
	roles := []Role{
		{
			Name:      "caller handling",
			CPU:       requestRate * e.estimate("Stream", "cpu-ns", tokensPerRequest) / nsPerSecond,
			Mechanism: "one goroutine a request; upper bound: client and engine are in the figure",
		},
		{
			Name:      "membership",
			Control:   true,
			CPU:       heartbeatsPerSecond * (e.estimate("Beat", "ns/op", instances)/nsPerSecond + peerCallCPU/2),
			Memory:    e.estimate("Beat", "heap-bytes", instances),
			Bytes:     heartbeatsPerSecond * (2*e.estimate("Beat", "wire-bytes", instances) + peerCallBytes),
			Mechanism: "heartbeats to 3 peers a second with 8 members each",
		},
		{
			Name:      "configuration",
			Control:   true,
			CPU:       changesPerSecond * e.estimate("Change", "ns/op", workspaces) / nsPerSecond,
			Memory:    2 * e.estimate("Document", "heap-bytes", workspaces),
			Bytes:     2*changesPerSecond*(e.estimate("Change", "wire-bytes", workspaces)+peerCallBytes) + 2*peerCallBytes/storePollSeconds,
			Reads:     2 / storePollSeconds,
			Writes:    changesPerSecond / instances,
			Mechanism: "entries pulled from peers; the head read every 10 s",
		},
		{
			Name:      "limits",
			Control:   true,
			CPU:       requestRate * (e.estimate("Admit", "ns/op", sharesPerWorkspace)/nsPerSecond + (takesPerRequest+settlementsPerRequest)*peerCallCPU),
			Memory:    workspaces * sharesPerWorkspace / instances * e.estimate("Shares", "heap-bytes", 1000) / 1000,
			Bytes:     2 * requestRate * (takesPerRequest + settlementsPerRequest) * peerCallBytes,
			Mechanism: "24 shares a workspace, held under leases, spent where they are",
		},
		{
			Name:      "leases",
			Control:   true,
			CPU:       e.estimate("Leases", "ns/op", limitPartitions) / nsPerSecond / leaseCheckSeconds,
			Bytes:     limitPartitions * leaseRowBytes / leaseCheckSeconds,
			Reads:     1 / leaseCheckSeconds,
			Writes:    limitPartitions / instances / leaseRenewalSeconds,
			Mechanism: "one row a partition, 15 min long, renewed after 5",
		},
		{
			Name:      "claims",
			CPU:       nonIdempotentFraction * requestRate * e.estimate("Claim", "ns/op", 1000) / nsPerSecond,
			Bytes:     nonIdempotentFraction * requestRate * 2 * (peerCallBytes + 1000),
			Writes:    nonIdempotentFraction * requestRate * e.estimate("Claim", "store-writes", 1000),
			Mechanism: "two conditional writes a call that may not be repeated",
		},
		{
			Name:      "placement",
			Control:   true,
			CPU:       requestRate * (e.estimate("Decide", "ns/op", runners/regions)/nsPerSecond + (1+correctionFraction)*peerCallCPU),
			Memory:    cachedBlocks / instances * e.estimate("Holdings", "heap-bytes", 100_000) / 100_000,
			Bytes:     2 * requestRate * (e.estimate("PeerCall", "wire-bytes", piecesPerPrompt) + correctionFraction*(peerCallBytes+outcomeBytes)),
			Mechanism: "one instance places a model's prompts of some workspaces; no cache event is read",
		},
		{
			Name:      "load reports",
			Control:   true,
			CPU:       loadPollsPerSecond * peerCallCPU,
			Bytes:     loadPollsPerSecond * peerCallBytes,
			Mechanism: "20 questions a second to engines in turn",
		},
	}
	return roles, e.err
}
