//go:build strike

package strike

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
	standengine "github.com/skylarkquay/skylarkquay/internal/stand/engine"
	standplain "github.com/skylarkquay/skylarkquay/internal/stand/plain"
	"github.com/skylarkquay/skylarkquay/internal/stand/store"
	"github.com/skylarkquay/skylarkquay/internal/trial/load"
	"github.com/skylarkquay/skylarkquay/internal/trial/trace"
)

// Row is the outcome of one fault.
type Row struct {
	Fault string `json:"fault"`
	Nodes int    `json:"nodes"`
	// Sent counts language requests and bookings.
	Sent int `json:"sent"`
	// Doubled counts bookings that ran more than once.
	Doubled int `json:"doubled"`
	// Lost counts bookings that were answered and did not run, and streams that were broken while their router lived.
	Lost int `json:"lost"`
	// Untrue counts bookings that ran though every answer said "not run".
	Untrue int `json:"untrue"`
	// Overrate is the tokens admitted beyond rate and burst of the narrow workspace.
	Overrate int64 `json:"overrate"`
	// Reverted counts the times that a router's revision went back.
	Reverted int `json:"reverted"`
	// Crossed counts answers with another request's content.
	Crossed int `json:"crossed"`
	// Leaked counts values with a key that reached an upstream.
	Leaked int `json:"leaked"`
	// Wrongful is the fraction of the ample workspace's requests that were refused.
	Wrongful float64 `json:"wrongful"`
	// Unanswered counts the ample workspace's requests that went to a router which was dead or frozen.
	Unanswered int `json:"unanswered"`
	// Broken counts streams of the ample workspace that were cut.
	Broken int `json:"broken"`
	// Unknown counts bookings whose outcome is unknown to the caller at the end.
	Unknown int `json:"unknown"`
}

// strike is one fault: what is done in the middle of the load, and whether streams may break because their router dies.
type strike struct {
	name      string
	begin     func(f *fleet)
	end       func(f *fleet)
	breakable bool
}

const (
	// before, during and after are the phases of a run.
	before = 3 * time.Second
	during = 12 * time.Second
	after  = 5 * time.Second
	// language requests of the ample and the narrow workspace, and bookings, a second.
	ampleRate  = 60.0
	narrowRate = 15.0
	bookEvery  = 50 * time.Millisecond
	tries      = 6
)

var strikes = []strike{
	{name: "none"},
	{name: "router killed", begin: func(f *fleet) { f.routers[1].kill() }, end: func(f *fleet) { f.routers[1].run(f.t) }, breakable: true},
	{name: "router frozen", begin: func(f *fleet) { f.routers[1].signal(syscall.SIGSTOP) }, end: func(f *fleet) { f.routers[1].signal(syscall.SIGCONT) }, breakable: true},
	{name: "router stopped", begin: func(f *fleet) { f.routers[1].signal(syscall.SIGTERM); _ = f.routers[1].command.Wait() }, end: func(f *fleet) { f.routers[1].run(f.t) }},
	{name: "all routers restarted", begin: func(f *fleet) {
		for _, r := range f.routers {
			r.kill()
		}
		for _, r := range f.routers {
			r.run(f.t)
		}
	}, breakable: true},
	{name: "store down", begin: storeFaults(store.Faults{Down: true}), end: storeFaults(store.Faults{})},
	{name: "store slow", begin: storeFaults(store.Faults{SlowMillis: 400}), end: storeFaults(store.Faults{})},
	{name: "store answers lost", begin: storeFaults(store.Faults{LoseEvery: 3}), end: storeFaults(store.Faults{})},
	{name: "engine killed", begin: func(f *fleet) { f.engines[0].kill() }, end: func(f *fleet) { f.engines[0].run(f.t) }},
	{name: "engine cuts answers", begin: engineFaults(standengine.Faults{CutAfter: 3}), end: engineFaults(standengine.Faults{})},
	{name: "engine empty", begin: engineFaults(standengine.Faults{Empty: true}), end: engineFaults(standengine.Faults{})},
	{name: "engine crosses answers", begin: engineFaults(standengine.Faults{Cross: true}), end: engineFaults(standengine.Faults{})},
	{name: "engine frozen", begin: func(f *fleet) { f.engines[0].signal(syscall.SIGSTOP) }, end: func(f *fleet) { f.engines[0].signal(syscall.SIGCONT) }},
	{name: "service loses answers", begin: serviceFaults(standplain.Faults{LoseAnswer: true}), end: serviceFaults(standplain.Faults{})},
	{name: "service killed", begin: func(f *fleet) { f.services[0].kill() }, end: nil},
	{name: "operators race", begin: raceOperators},
}

func storeFaults(x store.Faults) func(f *fleet) {
	return func(f *fleet) { f.put("http://"+f.store+"/faults", x) }
}

func engineFaults(x standengine.Faults) func(f *fleet) {
	return func(f *fleet) { f.put("http://"+f.engineAt[0]+"/faults", x) }
}

func serviceFaults(x standplain.Faults) func(f *fleet) {
	return func(f *fleet) { f.put("http://"+f.serviceAt[0]+"/faults", x) }
}

// raceOperators edits two sections through all routers at once.
func raceOperators(f *fleet) {
	var wg sync.WaitGroup
	for i := range f.routers {
		wg.Go(func() {
			for n := range 10 {
				section, text := "models", fmt.Sprintf("quotes: {weights: v1}\nm%d-%d: {weights: v1}\n", i, n)
				if n%2 == 1 {
					section, text = "site", fmt.Sprintf("policy: {placers: 1, token_micros: %d}\n", 5+i)
				}
				got, err := f.operator(i).Fetch(context.Background(), &wire.FetchRequest{Section: section})
				if err != nil {
					continue
				}
				_, _ = f.operator(i).Apply(context.Background(), &wire.ApplyRequest{
					Section: section, Text: text, Base: got.Revision, Edit: fmt.Sprintf("race-%d-%d", i, n), Operator: fmt.Sprint(i),
				})
			}
		})
	}
	wg.Wait()
}

// TestStrikes runs every fault, or the one that STRIKE names, and writes build/faults.json.
func TestStrikes(t *testing.T) {
	var rows []Row
	for _, s := range strikes {
		if only := os.Getenv("STRIKE"); only != "" && only != s.name {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			row := run(t, s)
			rows = append(rows, row)
			t.Logf("%+v", row)
			must.Eq(t, 0, row.Doubled, must.Sprint("doubled"))
			must.Eq(t, 0, row.Lost, must.Sprint("lost"))
			must.Eq(t, 0, row.Untrue, must.Sprint("untrue"))
			must.Eq(t, 0, row.Overrate, must.Sprint("overrate"))
			must.Eq(t, 0, row.Reverted, must.Sprint("reverted"))
			must.Eq(t, 0, row.Crossed, must.Sprint("crossed"))
			must.Eq(t, 0, row.Leaked, must.Sprint("leaked"))
		})
	}
	data, err := json.MarshalIndent(rows, "", "  ")
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(filepath.Join(os.Getenv("SKYLARKQUAY_BIN"), "faults.json"), append(data, '\n'), 0o644))
}

func run(t *testing.T, s strike) Row {
	f := newFleet(t)
	row := Row{Fault: s.name, Nodes: routers}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var wg sync.WaitGroup
	var report load.Report
	var took time.Duration
	wg.Go(func() {
		begin := time.Now()
		report = load.Run(ctx, traffic(), f.target(), load.Options{Speed: 1})
		took = time.Since(begin)
	})
	books := &bookings{fleet: f, answers: make(map[string][]answer)}
	wg.Go(func() { books.run(before + during + after) })
	watching, stopWatching := context.WithCancel(ctx)
	reverted := make(chan int, 1)
	go func() { reverted <- f.watchRevisions(watching) }()

	time.Sleep(before)
	if s.begin != nil {
		s.begin(f)
	}
	time.Sleep(during)
	if s.end != nil {
		s.end(f)
	}
	wg.Wait()
	stopWatching()
	row.Reverted = <-reverted
	ample, narrow := report.Workspaces["ample"], report.Workspaces["narrow"]
	row.Sent = report.Total.Sent + len(books.answers)
	row.Crossed = report.Total.Crossed
	row.Broken = report.Total.Broken
	if !s.breakable {
		row.Lost += report.Total.Broken
	}
	refused := 0
	for kind, n := range ample.Refused {
		// A caller without an answer reached a router that was dead or frozen, as no balancer stands before them here.
		if kind != load.NoAnswer {
			refused += n
		}
	}
	row.Wrongful = float64(refused) / float64(max(1, ample.Sent-ample.Refused[load.NoAnswer]))
	row.Unanswered = ample.Refused[load.NoAnswer]
	allowed := int64(rates["narrow"][1]) + int64(float64(rates["narrow"][0])*took.Seconds())
	row.Overrate = max(0, narrow.AdmittedTokens-allowed)
	books.judge(t, &row)
	row.Leaked = f.leaks(t)
	return row
}

func (f *fleet) target() load.Target {
	target := load.Target{Keys: f.keys, Model: "quotes"}
	for _, r := range f.routers {
		target.Routers = append(target.Routers, "http://"+r.listen)
	}
	return target
}

// traffic is the language load: the narrow workspace sends several times its rate.
func traffic() trace.Trace {
	var t trace.Trace
	add := func(workspace string, rate float64) {
		for i := range int(rate * (before + during + after).Seconds()) {
			t.Rows = append(t.Rows, trace.Row{
				At: float64(i) / rate, Workspace: workspace, Router: i % routers, Own: 400, Output: 30,
				Levels: []trace.Level{{ID: fmt.Sprint("level-", i%5), Pieces: 1}},
			})
		}
	}
	add("ample", ampleRate)
	wide := len(t.Rows)
	add("narrow", narrowRate)
	return trace.Trace{Rows: merge(t.Rows[:wide], t.Rows[wide:])}
}

func merge(a, b []trace.Row) []trace.Row {
	var all []trace.Row
	for len(a) > 0 || len(b) > 0 {
		if len(b) == 0 || (len(a) > 0 && a[0].At <= b[0].At) {
			all, a = append(all, a[0]), a[1:]
		} else {
			all, b = append(all, b[0]), b[1:]
		}
	}
	return all
}

// answer is one answer to a booking.
type answer struct {
	status int
	ran    fault.Ran
	body   string
}

// bookings sends bookings and sends them again until they are answered for good.
type bookings struct {
	fleet *fleet
	mu    sync.Mutex
	// answers are all answers by booking.
	answers map[string][]answer
}

func (b *bookings) run(span time.Duration) {
	var wg sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < span; i++ {
		wg.Go(func() { b.book(i) })
		time.Sleep(bookEvery)
	}
	wg.Wait()
}

// book sends one booking to router after router until it is told an answer or that the outcome is unknown for good.
func (b *bookings) book(i int) {
	body := fmt.Sprintf(`{"visit":%d}`, i)
	client := &http.Client{Timeout: 4 * time.Second}
	for try := range tries {
		r := b.fleet.routers[(i+try)%routers]
		req, err := http.NewRequest(http.MethodPost, "http://"+r.listen+"/bookings", bytes.NewReader([]byte(body)))
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer "+b.fleet.keys["ample"])
		req.Header.Set("Idempotency-Key", fmt.Sprint("visit-", i))
		got := answer{ran: fault.RanUnknown}
		if res, err := client.Do(req); err == nil {
			data, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			got = answer{status: res.StatusCode, ran: fault.Ran(res.Header.Get(fault.HeaderRan)), body: string(data)}
		}
		b.mu.Lock()
		b.answers[body] = append(b.answers[body], got)
		b.mu.Unlock()
		if got.status == http.StatusOK {
			return
		}
		time.Sleep(time.Second)
	}
}

// judge compares what callers were told with what the services ran.
func (b *bookings) judge(t *testing.T, row *Row) {
	runs := make(map[string]int)
	gone := false
	for i, at := range b.fleet.serviceAt {
		var part map[string]int
		if err := b.fleet.get("http://"+at+"/runs", &part); err != nil {
			must.Eq(t, 0, i, must.Sprint("only the first service is ever killed"))
			// What the killed service ran is not known; bookings that ran twice on the other one still show.
			gone = true
			continue
		}
		for body, n := range part {
			runs[body] += n
		}
	}
	for body, answers := range b.answers {
		if runs[body] > 1 {
			row.Doubled++
		}
		answered, allNotRun := "", true
		for _, a := range answers {
			allNotRun = allNotRun && a.ran == fault.RanNo
			if a.status == http.StatusOK {
				answered = a.body
			}
		}
		switch {
		case gone:
		case answered != "" && runs[body] == 0:
			row.Lost++
		case answered == "" && allNotRun && runs[body] > 0:
			row.Untrue++
		case answered == "" && !allNotRun:
			row.Unknown++
		}
	}
}

// watchRevisions counts the times that a router's revision goes back, until the context ends.
func (f *fleet) watchRevisions(ctx context.Context) int {
	reverted := 0
	highest := make([]int64, len(f.routers))
	for ctx.Err() == nil {
		for i := range f.routers {
			reply, err := f.operator(i).Status(ctx, &wire.StatusRequest{})
			// A router that has just started and is not yet current serves nothing.
			if err != nil || !reply.Current {
				continue
			}
			if reply.Revision < highest[i] {
				reverted++
			}
			highest[i] = max(highest[i], reply.Revision)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return reverted
}

// leaks counts the values with a key that upstreams have received.
func (f *fleet) leaks(t *testing.T) int {
	t.Helper()
	n := 0
	for _, at := range append(append([]string(nil), f.engineAt...), f.serviceAt...) {
		var seen standplain.Seen
		if f.get("http://"+at+"/seen?text="+url.QueryEscape("sq-secret"), &seen) == nil {
			n += seen.Count
		}
	}
	return n
}
