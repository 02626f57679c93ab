// Package learn estimates what requests cost and how fast upstreams work from what an instance sees of them.
package learn

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// forgetting is the time constant with which samples of services lose weight.
	forgetting = 30 * time.Second
	// paceForgetting is that of an upstream's samples. A slow upstream gets few requests, and is tried again when its samples
	// have faded.
	paceForgetting = 12 * time.Second
	// minServiceSamples and minPaceSamples are the samples from which an estimate is believed.
	minServiceSamples = 12
	minPaceSamples    = 6
	// minActingSamples are those of a service from which its estimate replaces the defaults.
	minActingSamples = 40
	// Upstreams work at different speeds if the slowest or the fastest tenth differs from the middle one by mixedFactor, of at least
	// minMixedUpstreams with minMixedSamples each. It ends when they differ by less than settledMixedFactor.
	mixedFactor        = 1.35
	settledMixedFactor = 1.2
	minMixedUpstreams  = 8
	minMixedSamples    = 12
	// maxPaceSamples bounds the weight of an upstream's samples, so that a change of its speed shows within seconds.
	maxPaceSamples = 30
	// outlierFactor bounds a sample in relation to what was expected.
	outlierFactor = 3
	// maxPace and minPace bound the pace of an upstream.
	maxPace = 3.0
	minPace = 0.4
	// actingFactor is how far a believed estimate has to differ from the default before it is used, settledFactor how near it
	// has to come to be no longer used.
	actingFactor  = 1.6
	settledFactor = 1.3
)

// Defaults are the costs that are assumed of a service before anything is known of it.
type Defaults struct {
	PerToken   time.Duration
	PerRunning time.Duration
	Response   time.Duration
}

// Sample is a response to a request that is not a failure.
type Sample struct {
	Service  string
	Upstream string
	// Route is empty for prompts.
	Route string
	// Born and Version are the incarnation and the weights of the upstream. What was seen of others does not count.
	Born    int64
	Version int64
	// Tokens is the number of prompt tokens that the upstream had to read, Ahead that of the requests before it, and Running
	// the number of those.
	Tokens  int64
	Ahead   int64
	Running int
	// Took is the time until the first event or, of plain services, until the response.
	Took time.Duration
	// Cut reports whether the request ended without a response, so that Took is a lower bound.
	Cut bool
}

// Estimate is what is known of a service.
type Estimate struct {
	// Base is the part of the time to the first event that does not depend on the tokens and requests ahead.
	Base       time.Duration
	PerToken   time.Duration
	PerRunning time.Duration
	// Response is the time in which an upstream of a plain service answers.
	Response time.Duration
	// First is the mean time to the first event; zero if not known.
	First time.Duration
	// Lasting is the time from sending a prompt to the end of its answer; zero if not known.
	Lasting time.Duration
	// Samples is the weight of the samples behind the estimate.
	Samples float64
	// Acting reports whether the estimate is believed and differs enough from the defaults to replace them. Mixed reports whether the
	// upstreams work at different speeds.
	Acting, Mixed bool
}

// Pace is a number of samples of an upstream in a short time, and the sum of the logarithms of the ratios between the times that
// they took and the expected ones, in 1/paceUnits. Sums of paces are paces.
type Pace struct {
	Count int
	Sum   int
}

// paceUnits is the resolution of Pace.Sum.
const paceUnits = 16

// service holds the samples of one service.
type service struct {
	prompts prompts
	plain   mean
	// routes holds the response times of plain requests by route, held the tokens that a prompt needs in the KV cache.
	routes map[string]*mean
	held   mean
	// steps holds the times between the events of streams.
	steps mean
	// first holds the times to the first event.
	first mean
	// lasted holds the times from sending a prompt to the end of its answer.
	lasted mean
	acting bool
	mixed  bool
	// mixedUntil is when mixed is looked at again.
	mixedUntil time.Time
}

// upstream holds the samples of one incarnation of an upstream on one version of weights.
type upstream struct {
	service       string
	born, version int64
	// count and sum are the samples of all instances, with the logarithms of their ratios.
	count, sum float64
	at         time.Time
	recent     []recentRatio
}

// recentRatio is a sample that the others are told of.
type recentRatio struct {
	at    time.Time
	units int
}

// quietTokens is the number of tokens ahead that hardly matter.
const quietTokens = 500

// mixedInterval is the time between looks at whether the upstreams of a service work at different speeds.
const mixedInterval = time.Second

// reportSpan is the time for which a sample is reported to the others.
const reportSpan = 2 * time.Second

// Tracker learns from samples. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	defaults  Defaults
	services  map[string]*service
	upstreams map[string]*upstream
	outputs   map[string]*mean
	// mergedAt is when the paces of the others were last added.
	mergedAt time.Time
}

// NewTracker returns a tracker without samples.
func NewTracker(defaults Defaults) *Tracker {
	return &Tracker{defaults: defaults, services: make(map[string]*service), upstreams: make(map[string]*upstream), outputs: make(map[string]*mean)}
}

func (t *Tracker) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{prompts: newPrompts(t.defaults), routes: make(map[string]*mean)}
		t.services[name] = s
	}
	return s
}

// upstream returns the state of an incarnation on a version of weights, and forgets what was seen of earlier ones.
func (t *Tracker) upstream(service, id string, born, version int64) *upstream {
	u, ok := t.upstreams[id]
	if !ok || u.born != born || u.version != version {
		u = &upstream{service: service, born: born, version: version}
		t.upstreams[id] = u
	}
	return u
}

// Prompt adds the time to the first event of a prompt.
func (t *Tracker) Prompt(now time.Time, s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sv := t.service(s.Service)
	p := &sv.prompts
	x := features{1, float64(s.Tokens+s.Ahead) / 1000, float64(s.Running)}
	expected := p.expect(x)
	took := s.Took.Seconds()
	if s.Cut && took <= expected {
		return
	}
	if p.count >= minServiceSamples {
		if s.Ahead <= s.Tokens {
			t.upstream(s.Service, s.Upstream, s.Born, s.Version).add(now, took/expected)
		}
		took = min(max(took, expected/outlierFactor), expected*outlierFactor)
	}
	sv.first.add(now, took)
	own := float64(s.Tokens+quietTokens) / float64(s.Tokens+s.Ahead+quietTokens)
	p.add(now, x, took, own*own)
}

// Steps adds the mean time between the events of a stream that is complete. Unlike the time to the first event it does not depend on the
// work ahead, of which reports come late.
func (t *Tracker) Steps(now time.Time, s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &t.service(s.Service).steps
	took := s.Took.Seconds()
	if took <= 0 {
		return
	}
	if m.count >= minServiceSamples {
		t.upstream(s.Service, s.Upstream, s.Born, s.Version).add(now, took/m.value)
	}
	m.add(now, took)
}

// Plain adds the time of a response of a plain service.
func (t *Tracker) Plain(now time.Time, s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sv := t.service(s.Service)
	m, ok := sv.routes[s.Route]
	if !ok {
		m = &mean{}
		sv.routes[s.Route] = m
	}
	took := s.Took.Seconds()
	if s.Cut && took <= m.value {
		return
	}
	m.add(now, took)
	sv.plain.add(now, took)
}

// Output adds the number of tokens of a complete answer on a route.
func (t *Tracker) Output(now time.Time, route string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.outputs[route]
	if !ok {
		m = &mean{}
		t.outputs[route] = m
	}
	m.add(now, float64(tokens))
}

// Held adds the tokens that a prompt and its answer need in the KV cache of an engine.
func (t *Tracker) Held(now time.Time, service string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(service).held.add(now, float64(tokens))
}

// Lasted adds the time from sending a prompt to the end of its answer, in which it occupies the KV cache.
func (t *Tracker) Lasted(now time.Time, service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(service).lasted.add(now, took.Seconds())
}

// CacheBinds reports whether the KV cache of an engine holds fewer requests of the mean size than the engine has slots.
func (t *Tracker) CacheBinds(now time.Time, service string, cacheTokens int64, slots int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := &t.service(service).held
	return cacheTokens > 0 && held.weight(now) >= minServiceSamples && held.value*float64(slots) > float64(cacheTokens)
}

// ExpectedOutput returns the expected number of output tokens of a request, at most its maximum. The maximum is expected until
// answers have been seen; zero means that there is none.
func (t *Tracker) ExpectedOutput(now time.Time, route string, maximum int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.outputs[route]
	if !ok || m.weight(now) < minPaceSamples {
		return maximum
	}
	expected := int64(math.Ceil(m.value))
	if maximum > 0 {
		expected = min(expected, maximum)
	}
	return expected
}

// Estimate returns what is known of a service.
func (t *Tracker) Estimate(now time.Time, name string) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	theta := s.prompts.theta
	e := Estimate{
		Base: seconds(theta[0]), PerToken: seconds(theta[1] / 1000), PerRunning: seconds(theta[2]), Samples: s.prompts.weight(now),
		Response: t.defaults.Response, First: seconds(s.first.value), Lasting: seconds(s.lasted.value),
	}
	value, assumed := e.PerToken, t.defaults.PerToken
	if w := s.plain.weight(now); w > e.Samples {
		e.Samples, e.Response = w, seconds(s.plain.value)
		value, assumed = e.Response, t.defaults.Response
	}
	limit := actingFactor
	if s.acting {
		limit = settledFactor
	}
	s.acting = e.Samples >= minActingSamples && differs(value, assumed, limit)
	e.Acting, e.Mixed = s.acting, t.isMixed(now, name, s)
	return e
}

// isMixed reports whether the upstreams of a service work at different speeds. The caller holds the lock.
func (t *Tracker) isMixed(now time.Time, name string, s *service) bool {
	if !now.Before(s.mixedUntil) {
		s.mixedUntil = now.Add(mixedInterval)
		var means []float64
		for _, u := range t.upstreams {
			if u.service == name && u.count*fade(now.Sub(u.at), paceForgetting) >= minMixedSamples {
				means = append(means, u.sum/u.count)
			}
		}
		limit := mixedFactor
		if s.mixed {
			limit = settledMixedFactor
		}
		slices.Sort(means)
		n := len(means)
		s.mixed = n >= minMixedUpstreams && max(means[n-1-n/10]-means[n/2], means[n/2]-means[n/10]) > math.Log(limit)
	}
	return s.mixed
}

func differs(a, b time.Duration, factor float64) bool {
	ratio := float64(max(a, 1)) / float64(max(b, 1))
	return ratio > factor || ratio < 1/factor
}

// Pace returns how many times as long as others an upstream takes, and the weight of the samples behind that. It is 1 until there
// are enough of them, and nearer to 1 while there are few.
func (t *Tracker) Pace(now time.Time, id string, born, version int64) (pace, samples float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.upstreams[id]
	if !ok || u.born != born || u.version != version {
		return 1, 0
	}
	samples = u.count * fade(now.Sub(u.at), paceForgetting)
	if samples < minPaceSamples {
		return 1, samples
	}
	mean := u.sum / u.count
	believed := mean * samples / (samples + minPaceSamples)
	return min(max(math.Exp(believed), minPace), maxPace), samples
}

// add adds the ratio between the time that a request took and the expected one.
func (u *upstream) add(now time.Time, ratio float64) {
	value := math.Log(min(max(ratio, 1.0/outlierFactor), outlierFactor))
	u.integrate(now, 1, value)
	units := int(math.Round(value * paceUnits))
	u.expire(now)
	u.recent = append(u.recent, recentRatio{now, units})
}

func (u *upstream) integrate(now time.Time, count, sum float64) {
	f := fade(now.Sub(u.at), paceForgetting)
	u.count, u.sum, u.at = u.count*f+count, u.sum*f+sum, now
	if u.count > maxPaceSamples {
		u.sum *= maxPaceSamples / u.count
		u.count = maxPaceSamples
	}
}

func (u *upstream) expire(now time.Time) {
	n := 0
	for n < len(u.recent) && now.Sub(u.recent[n].at) > reportSpan {
		n++
	}
	u.recent = u.recent[n:]
}

// Report returns the paces that this instance has seen in the last seconds, by upstream.
func (t *Tracker) Report(now time.Time) map[string]Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := make(map[string]Pace)
	for id, u := range t.upstreams {
		u.expire(now)
		for _, r := range u.recent {
			p := report[id]
			report[id] = Pace{p.Count + 1, p.Sum + r.units}
		}
	}
	return report
}

// WeightsKey returns a number that changes with the versions of the loaded weights.
func WeightsKey(weights map[string]int64) int64 {
	sum := int64(0)
	for _, version := range weights {
		sum += version
	}
	return sum
}

// Incarnation is an upstream on a version of weights, with the pace that the others report.
type Incarnation struct {
	ID      string
	Service string
	Born    int64
	Version int64
	Pace    Pace
}

// Merge adds what the others report. Reports cover reportSpan, so each call takes the part of them that is as long as the time since
// the last one. What no instance can have seen is bounded.
func (t *Tracker) Merge(now time.Time, reported []Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	part := min(max(0, now.Sub(t.mergedAt).Seconds()/reportSpan.Seconds()), 1)
	if t.mergedAt.IsZero() {
		part = 0
	}
	t.mergedAt = now
	limit := math.Log(outlierFactor)
	for _, r := range reported {
		if r.Pace.Count <= 0 {
			continue
		}
		count := min(float64(r.Pace.Count), maxPaceSamples)
		mean := float64(r.Pace.Sum) / paceUnits / float64(r.Pace.Count)
		t.upstream(r.Service, r.ID, r.Born, r.Version).integrate(now, count*part, min(max(mean, -limit), limit)*count*part)
	}
}

// Keep forgets the upstreams that are not known.
func (t *Tracker) Keep(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.upstreams {
		if !known(id) {
			delete(t.upstreams, id)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// fade returns the factor by which samples lose weight in a time. The time of day may jump back.
func fade(elapsed, constant time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / constant.Seconds())
}
