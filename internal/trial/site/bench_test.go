package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/fake/engine"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
)

func started(b *testing.B, routers int) *Site {
	b.Helper()
	s, err := Start(Plan{Routers: routers, Engines: 2, Log: logr.Discard(), Rates: map[string]rules.Rate{"acme": {TokensPerSecond: 1 << 30, BurstTokens: 1 << 40}}, Engine: engine.Settings{PerEvent: time.Nanosecond, PerToken: time.Nanosecond}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	return s
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCapacityStream measures a streamed request through one router; processor time includes client and engine, which run
// in the same process.
func BenchmarkCapacityStream(b *testing.B) {
	for _, n := range []int{1, 50, 250} {
		b.Run(fmt.Sprintf("events/n=%d", n), func(b *testing.B) {
			s := started(b, 1)
			if _, err := streamText(b.Context(), s.Routers[0], s.Keys["acme"], "warm", 1); err != nil {
				b.Fatal(err)
			}
			before := processorTime()
			runs := 0
			b.ReportAllocs()
			for b.Loop() {
				runs++
				if _, err := streamText(b.Context(), s.Routers[0], s.Keys["acme"], "bench", int64(n)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processorTime()-before)/float64(runs), "cpu-ns")
		})
	}
}

// BenchmarkCapacityIdle measures what routers without requests spend on control, all in one process with the platform's
// stand-in: processor time of one router for one second, and store calls a second of all.
func BenchmarkCapacityIdle(b *testing.B) {
	for _, n := range []int{3, 9, 19} {
		b.Run(fmt.Sprintf("routers/n=%d", n), func(b *testing.B) {
			s := started(b, n)
			time.Sleep(5 * time.Second)
			reads, writes := s.Platform.Table.Counts()
			before := processorTime()
			begin := time.Now()
			const span = 10 * time.Second
			for b.Loop() {
				time.Sleep(span)
			}
			took := time.Since(begin).Seconds()
			r, w := s.Platform.Table.Counts()
			b.ReportMetric(float64(processorTime()-before)/took/float64(n), "cpu-ns")
			b.ReportMetric(float64(r-reads)/took, "store-reads")
			b.ReportMetric(float64(w-writes)/took, "store-writes")
		})
	}
}

// BenchmarkCapacityPeerCall measures questions between two routers; processor time is that of both sides.
func BenchmarkCapacityPeerCall(b *testing.B) {
	for _, n := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("pieces/n=%d", n), func(b *testing.B) {
			s := started(b, 1)
			wired := &counter{}
			peer := wire.NewPeerProtobufClient("http://"+s.Routers[0].Settings.Peer, &http.Client{Transport: &http.Transport{DialContext: wired.dial}})
			request := &wire.PlaceRequest{Model: Model, Chain: make([]uint64, n), Tokens: int64(n) * 2000, Zone: "a"}
			before := processorTime()
			runs := 0
			for b.Loop() {
				runs++
				if _, err := peer.Place(b.Context(), request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processorTime()-before)/float64(runs), "cpu-ns")
			b.ReportMetric(float64(wired.bytes.Load())/float64(runs), "wire-bytes")
		})
	}
}

// counter counts the bytes of its connections, both directions.
type counter struct {
	bytes atomic.Int64
}

func (c *counter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	return &countedConn{Conn: conn, counter: c}, err
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	counter *counter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// BenchmarkConvergence measures the time from an accepted edit until the last of so many routers has it in force.
func BenchmarkConvergence(b *testing.B) {
	for _, n := range []int{3, 9, 19, 40} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			s := started(b, n)
			var worst, sum time.Duration
			edits := 0
			for b.Loop() {
				edits++
				took := s.converge(b, edits)
				worst = max(worst, took)
				sum += took
			}
			b.ReportMetric(worst.Seconds(), "worst-s")
			b.ReportMetric(sum.Seconds()/float64(edits), "mean-s")
		})
	}
}

// converge applies one edit through a router and returns the time until all routers have it in force.
func (s *Site) converge(b *testing.B, number int) time.Duration {
	b.Helper()
	first := wire.NewOperatorProtobufClient("http://"+s.Routers[number%len(s.Routers)].Settings.Admin, http.DefaultClient)
	got, err := first.Fetch(b.Context(), &wire.FetchRequest{Section: "models"})
	if err != nil {
		b.Fatal(err)
	}
	begin := time.Now()
	reply, err := first.Apply(b.Context(), &wire.ApplyRequest{
		Section: "models", Text: fmt.Sprintf("%s: {weights: %s}\nx%d: {weights: v}\n", Model, weights, number), Base: got.Revision, Edit: fmt.Sprint("edit-", number), Operator: "bench",
	})
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range s.Routers {
		client := wire.NewOperatorProtobufClient("http://"+n.Settings.Admin, http.DefaultClient)
		for {
			status, err := client.Status(b.Context(), &wire.StatusRequest{})
			if err == nil && status.Revision >= reply.Revision {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(begin)
}

// BenchmarkDirect and BenchmarkThrough compare a request to an engine with the same through a router.
func BenchmarkDirect(b *testing.B) {
	s := started(b, 1)
	benchPost(b, "http://"+s.ups[0].address, "")
}

func BenchmarkThrough(b *testing.B) {
	s := started(b, 1)
	benchPost(b, s.Routers[0].URL(), s.Keys["acme"])
}

func benchPost(b *testing.B, url, key string) {
	b.Helper()
	b.ReportAllocs()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for b.Loop() {
		begin := time.Now()
		if err := postOnce(client, url, key); err != nil {
			b.Fatal(err)
		}
		_ = times.RecordValue(time.Since(begin).Microseconds())
	}
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-us")
}
