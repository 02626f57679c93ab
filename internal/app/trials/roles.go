package trials

import "github.com/samber/oops"

// The letter's size and budget.
const (
	nodes             = 340.0
	runners           = 1900.0
	regions           = 6.0
	requestsPerSecond = 1700.0
	tokensPerSecond   = 420_000.0
	blocks            = 82e6
	workspaces        = 2600.0
	changesPerDay     = 5400.0
	secondsPerDay     = 86_400.0

	budgetCPU    = 0.031
	budgetMemory = 128e6
	budgetBytes  = 21_000.0
)

// What the design takes as given.
const (
	// partitions is the number of limit partitions at that size.
	partitions = 384.0
	// shares is the number of shares of one workspace.
	shares = 24.0
	// takes is the number of questions for tokens that one request asks of other holders.
	takes = 1.0
	// gives is the number of settlements that one request tells other holders.
	gives = 1.0
	// beats is the number of heartbeats that a node sends and receives in a second.
	beats = 6.0
	// bookings is the part of the requests that may not be repeated.
	bookings = 0.1
	// corrections is the part of the placed prompts whose answers differ from what the placer believed.
	corrections = 0.02
	// loadQuestions is the number of load reports that a node asks for in a second.
	loadQuestions = 20.0
	// pieces is the number of pieces in a mean prompt.
	pieces = 6.0
	// pollEvery is the time between two reads of the store by a node, leaseEvery between two looks at the leases, in seconds.
	pollEvery  = 10.0
	leaseEvery = 60.0
	// leaseRenewal is the time between two renewals of a lease, in seconds.
	leaseRenewal = 300.0
	// leaseRow is the size of a lease row on the wire, outcome that of what became of one prompt, in bytes.
	leaseRow = 260.0
	outcome  = 100.0
	second   = 1e9
)

// Role is what one role of a node costs at the letter's size.
type Role struct {
	Name string `json:"name"`
	// Control tells that the role counts against the budget for control.
	Control bool `json:"control"`
	// CPU is in cores, Memory in bytes, Bytes in bytes per second, sent and received together.
	CPU    float64 `json:"cpu"`
	Memory float64 `json:"memory"`
	Bytes  float64 `json:"bytes"`
	// Reads and Writes are calls of the table service per second, for this node.
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
	// Mechanism carries the role.
	Mechanism string `json:"mechanism"`
}

// book finds fits by benchmark and metric.
type book struct {
	fits []Fit
	err  error
}

func (b *book) at(benchmark, metric string, size float64) float64 {
	for _, f := range b.fits {
		if f.Benchmark == benchmark && f.Metric == metric {
			return f.At(size)
		}
	}
	b.err = oops.Errorf("no measurement of %s in %s", benchmark, metric)
	return 0
}

// roles works the roles out of the fits.
func roles(fits []Fit) ([]Role, error) {
	b := &book{fits: fits}
	perNode := requestsPerSecond / nodes
	events := tokensPerSecond / requestsPerSecond
	call := b.at("PeerCall", "cpu-ns", pieces) / second
	envelope := b.at("PeerCall", "wire-bytes", 0)
	change := changesPerDay / secondsPerDay
	all := []Role{
		{
			Name:      "caller handling",
			CPU:       perNode * b.at("Stream", "cpu-ns", events) / second,
			Mechanism: "one goroutine a request; upper bound: client and engine are in the figure",
		},
		{
			Name:      "membership",
			Control:   true,
			CPU:       beats * (b.at("Beat", "ns/op", nodes)/second + call/2),
			Memory:    b.at("Beat", "heap-bytes", nodes),
			Bytes:     beats * (2*b.at("Beat", "wire-bytes", nodes) + envelope),
			Mechanism: "heartbeats to 3 peers a second with 8 members each",
		},
		{
			Name:      "configuration",
			Control:   true,
			CPU:       change * b.at("Change", "ns/op", workspaces) / second,
			Memory:    2 * b.at("Document", "heap-bytes", workspaces),
			Bytes:     2*change*(b.at("Change", "wire-bytes", workspaces)+envelope) + 2*envelope/pollEvery,
			Reads:     2 / pollEvery,
			Writes:    change / nodes,
			Mechanism: "entries pulled from peers; the head read every 10 s",
		},
		{
			Name:      "limits",
			Control:   true,
			CPU:       perNode * (b.at("Admit", "ns/op", shares)/second + (takes+gives)*call),
			Memory:    workspaces * shares / nodes * b.at("Shares", "heap-bytes", 1000) / 1000,
			Bytes:     2 * perNode * (takes + gives) * envelope,
			Mechanism: "24 shares a workspace, held under leases, spent where they are",
		},
		{
			Name:      "leases",
			Control:   true,
			CPU:       b.at("Leases", "ns/op", partitions) / second / leaseEvery,
			Bytes:     partitions * leaseRow / leaseEvery,
			Reads:     1 / leaseEvery,
			Writes:    partitions / nodes / leaseRenewal,
			Mechanism: "one row a partition, 15 min long, renewed after 5",
		},
		{
			Name:      "claims",
			CPU:       bookings * perNode * b.at("Claim", "ns/op", 1000) / second,
			Bytes:     bookings * perNode * 2 * (envelope + 1000),
			Writes:    bookings * perNode * b.at("Claim", "store-writes", 1000),
			Mechanism: "two conditional writes a call that may not be repeated",
		},
		{
			Name:      "placement",
			Control:   true,
			CPU:       perNode * (b.at("Decide", "ns/op", runners/regions)/second + (1+corrections)*call),
			Memory:    blocks / nodes * b.at("Holdings", "heap-bytes", 100_000) / 100_000,
			Bytes:     2 * perNode * (b.at("PeerCall", "wire-bytes", pieces) + corrections*(envelope+outcome)),
			Mechanism: "one instance places a model's prompts of some workspaces; no cache event is read",
		},
		{
			Name:      "load reports",
			Control:   true,
			CPU:       loadQuestions * call,
			Bytes:     loadQuestions * envelope,
			Mechanism: "20 questions a second to engines in turn",
		},
	}
	return all, b.err
}
