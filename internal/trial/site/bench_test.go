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

func startBench(b *testing.B, routers int) *Site {
	b.Helper()
	s, err := Start(Options{Routers: routers, Engines: 2, Log: logr.Discard(), Rates: map[string]rules.Rate{"acme": {TokensPerSecond: 1 << 30, BurstTokens: 1 << 40}}, Engine: engine.Settings{PerEvent: time.Nanosecond, PerToken: time.Nanosecond}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	return s
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCapacityStream measures a streamed request through one router. CPU time includes the client and the engine, which
// run in the same process.
func BenchmarkCapacityStream(b *testing.B) {
	for _, n := range []int{1, 50, 250} {
		b.Run(fmt.Sprintf("events/n=%d", n), func(b *testing.B) {
			s := startBench(b, 1)
			if _, err := streamText(b.Context(), s.Routers[0], s.Keys["acme"], "warm", 1); err != nil {
				b.Fatal(err)
			}
			cpuBefore := cpuTime()
			requests := 0
			b.ReportAllocs()
			for b.Loop() {
				requests++
				if _, err := streamText(b.Context(), s.Routers[0], s.Keys["acme"], "bench", int64(n)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(requests), "cpu-ns")
		})
	}
}

// BenchmarkCapacityIdle measures the control cost of routers without requests, in one process with the platform's stand-in:
// CPU time per second of one router, and store calls per second of all routers.
func BenchmarkCapacityIdle(b *testing.B) {
	for _, n := range []int{3, 9, 19} {
		b.Run(fmt.Sprintf("routers/n=%d", n), func(b *testing.B) {
			s := startBench(b, n)
			time.Sleep(5 * time.Second)
			readsBefore, writesBefore := s.Platform.Table.Counts()
			cpuBefore := cpuTime()
			start := time.Now()
			const interval = 10 * time.Second
			for b.Loop() {
				time.Sleep(interval)
			}
			elapsed := time.Since(start).Seconds()
			reads, writes := s.Platform.Table.Counts()
			b.ReportMetric(float64(cpuTime()-cpuBefore)/elapsed/float64(n), "cpu-ns")
			b.ReportMetric(float64(reads-readsBefore)/elapsed, "store-reads")
			b.ReportMetric(float64(writes-writesBefore)/elapsed, "store-writes")
		})
	}
}

// BenchmarkCapacityPeerCall measures placement requests between two routers. CPU time includes both sides.
func BenchmarkCapacityPeerCall(b *testing.B) {
	for _, n := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("pieces/n=%d", n), func(b *testing.B) {
			s := startBench(b, 1)
			traffic := &byteCounter{}
			peer := wire.NewPeerProtobufClient("http://"+s.Routers[0].Settings.Peer, &http.Client{Transport: &http.Transport{DialContext: traffic.dial}})
			request := &wire.PlaceRequest{Model: Model, Chain: make([]uint64, n), Tokens: int64(n) * 2000, Zone: "a"}
			cpuBefore := cpuTime()
			requests := 0
			for b.Loop() {
				requests++
				if _, err := peer.Place(b.Context(), request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(requests), "cpu-ns")
			b.ReportMetric(float64(traffic.bytes.Load())/float64(requests), "wire-bytes")
		})
	}
}

// byteCounter counts the bytes of its connections in both directions.
type byteCounter struct {
	bytes atomic.Int64
}

func (c *byteCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	return &countedConn{Conn: conn, counter: c}, err
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	counter *byteCounter
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

// BenchmarkConvergence measures the time from the start of an edit until all routers have applied it.
func BenchmarkConvergence(b *testing.B) {
	for _, n := range []int{3, 9, 19, 40} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			s := startBench(b, n)
			var longest, sum time.Duration
			edits := 0
			for b.Loop() {
				edits++
				elapsed := s.measureConvergence(b, edits)
				longest = max(longest, elapsed)
				sum += elapsed
			}
			b.ReportMetric(longest.Seconds(), "worst-s")
			b.ReportMetric(sum.Seconds()/float64(edits), "mean-s")
		})
	}
}

// measureConvergence sends an edit to one router and returns the time until all routers have applied it.
func (s *Site) measureConvergence(b *testing.B, number int) time.Duration {
	b.Helper()
	operator := wire.NewOperatorProtobufClient("http://"+s.Routers[number%len(s.Routers)].Settings.Admin, http.DefaultClient)
	got, err := operator.Fetch(b.Context(), &wire.FetchRequest{Section: "models"})
	if err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	reply, err := operator.Apply(b.Context(), &wire.ApplyRequest{
		Section: "models", Text: fmt.Sprintf("%s: {weights: %s}\nx%d: {weights: v}\n", Model, weights, number), Base: got.Revision, Edit: fmt.Sprint("edit-", number), Operator: "bench",
	})
	if err != nil {
		b.Fatal(err)
	}
	for _, r := range s.Routers {
		client := wire.NewOperatorProtobufClient("http://"+r.Settings.Admin, http.DefaultClient)
		for {
			status, err := client.Status(b.Context(), &wire.StatusRequest{})
			if err == nil && status.Revision >= reply.Revision {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// BenchmarkDirect and BenchmarkThroughRouter compare a request to an engine with the same request through a router.
func BenchmarkDirect(b *testing.B) {
	s := startBench(b, 1)
	benchPost(b, "http://"+s.upstreams[0].address, "")
}

func BenchmarkThroughRouter(b *testing.B) {
	s := startBench(b, 1)
	benchPost(b, s.Routers[0].URL(), s.Keys["acme"])
}

func benchPost(b *testing.B, url, key string) {
	b.Helper()
	b.ReportAllocs()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for b.Loop() {
		start := time.Now()
		if err := postOnce(client, url, key); err != nil {
			b.Fatal(err)
		}
		_ = latencies.RecordValue(time.Since(start).Microseconds())
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-us")
}
