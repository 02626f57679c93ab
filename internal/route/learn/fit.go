package learn

import (
	"math"
	"time"
)

// minTime is the shortest time that is expected of an answer, in seconds.
const minTime = 0.001

// features are what the time to the first event depends on: a constant, thousands of tokens, and requests ahead.
type features [3]float64

// prompts fits the time to the first event as a sum of features by least squares of the relative error. Three samples that the
// defaults explain keep the fit determined.
type prompts struct {
	prior              [3][3]float64
	priorTarget        features
	normal             [3][3]float64
	target             features
	theta, least, most features
	count              float64
	at                 time.Time
}

const (
	// lateWeight is the weight of samples that took longer than expected, mostly for work ahead that is not reported yet.
	lateWeight = 0.3
	// assumedBase is the time to the first event of an empty prompt at an idle upstream, in seconds.
	assumedBase = 0.02
	// maxDeviation bounds how far an estimate goes from its default.
	maxDeviation = 16
	maxBase      = 1.0
)

// newPrompts returns a fit that follows the defaults until samples outweigh them.
func newPrompts(d Defaults) prompts {
	p := prompts{theta: features{assumedBase, d.PerToken.Seconds() * 1000, d.PerRunning.Seconds()}}
	for i, v := range p.theta {
		p.least[i], p.most[i] = v/maxDeviation, v*maxDeviation
	}
	p.least[0], p.most[0], p.least[2] = 0, maxBase, 0
	for _, x := range []features{{1, 0, 0}, {1, 4, 0}, {1, 0, 16}} {
		t := p.expect(x)
		accumulate(&p.prior, &p.priorTarget, x, t, 1/(t*t))
	}
	return p
}

// accumulate adds a sample of weight w to the normal equations.
func accumulate(normal *[3][3]float64, target *features, x features, t, w float64) {
	for i := range x {
		for j := range x {
			normal[i][j] += w * x[i] * x[j]
		}
		target[i] += w * x[i] * t
	}
}

// expect returns the expected time in seconds.
func (p *prompts) expect(x features) float64 {
	return max(minTime, p.theta[0]*x[0]+p.theta[1]*x[1]+p.theta[2]*x[2])
}

func (p *prompts) weight(now time.Time) float64 { return p.count * fade(now.Sub(p.at), forgetting) }

// add adds a sample that took t seconds. What is known late of the work ahead makes its weight smaller.
func (p *prompts) add(now time.Time, x features, t, weight float64) {
	f := fade(now.Sub(p.at), forgetting)
	for i := range p.normal {
		for j := range p.normal[i] {
			p.normal[i][j] *= f
		}
		p.target[i] *= f
	}
	p.count, p.at = p.count*f+1, now
	expected := p.expect(x)
	if t > expected {
		weight *= lateWeight
	}
	accumulate(&p.normal, &p.target, x, t, weight/(expected*expected))
	p.solve()
}

// solve sets theta by Gaussian elimination. The prior makes the matrix positive definite.
func (p *prompts) solve() {
	a, b := p.normal, p.target
	for i := range a {
		for j := range a[i] {
			a[i][j] += p.prior[i][j]
		}
		b[i] += p.priorTarget[i]
	}
	for i := range a {
		for k := i + 1; k < len(a); k++ {
			factor := a[k][i] / a[i][i]
			for j := i; j < len(a); j++ {
				a[k][j] -= factor * a[i][j]
			}
			b[k] -= factor * b[i]
		}
	}
	var theta features
	for i := len(a) - 1; i >= 0; i-- {
		sum := b[i]
		for j := i + 1; j < len(a); j++ {
			sum -= a[i][j] * theta[j]
		}
		theta[i] = sum / a[i][i]
	}
	for i, v := range theta {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return
		}
		theta[i] = min(max(v, p.least[i]), p.most[i])
	}
	p.theta = theta
}

// mean is a mean of samples that lose weight with time. Later samples are bounded in relation to it.
type mean struct {
	value, count float64
	at           time.Time
}

func (m *mean) weight(now time.Time) float64 { return m.count * fade(now.Sub(m.at), forgetting) }

func (m *mean) add(now time.Time, value float64) {
	if m.count >= minPaceSamples && m.value > 0 {
		value = min(max(value, m.value/outlierFactor), m.value*outlierFactor)
	}
	m.count = m.weight(now) + 1
	m.at = now
	m.value += (value - m.value) / m.count
}
