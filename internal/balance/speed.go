package balance

import (
	"math"
	"sync"
	"time"
)

// quantile follows a quantile of times that vary over orders of magnitude: each
// sample moves it up or down by a share of itself, in proportion to what should lie
// above and below. It needs no memory of samples and shrugs off outliers.
type quantile struct {
	value   float64
	samples int
}

// quantileStep is the share by which a sample moves the estimate; the first ones move
// it further, so that a bad first sample is soon forgotten.
const (
	quantileStep  = 0.05
	quantileFirst = 0.5
)

// add takes a sample of a quantile q from (0, 1).
func (m *quantile) add(sample, q float64) {
	if sample <= 0 || math.IsNaN(sample) || math.IsInf(sample, 0) {
		return
	}
	m.samples++
	if m.value == 0 {
		m.value = sample
		return
	}
	step := max(quantileStep, quantileFirst/float64(m.samples))
	if sample > m.value {
		m.value *= 1 + step*q
		return
	}
	m.value *= 1 - step*(1-q)
}

const (
	// tokenQuantile of the times between tokens is that of an engine that reads
	// nothing meanwhile: most of them.
	tokenQuantile = 0.4
	// readQuantile of the times to the first token, by token read, is that of
	// prompts which had the engine to themselves. It is low, so that an overload,
	// in which all wait, isn't taken for slow reading.
	readQuantile = 0.1
	// leastRead is how many tokens a prompt must have for its time to the first
	// token to tell of reading rather than of the way there.
	leastRead = 1024
	// leastSamples is how many samples an estimate needs to be used.
	leastSamples = 20
	// maxSpeed bounds by how much an endpoint is taken to be faster or slower than
	// its peers.
	maxSpeed = 4.0
	// firstPerToken is how many seconds the reading of a token is taken to last
	// until some have been seen, which takes a second or two.
	firstPerToken = 20e-6
)

// engineSpeeds is what is known of the speed of a group of endpoints. It is safe for
// concurrent use.
type engineSpeeds struct {
	mu    sync.Mutex
	token quantile // seconds for a token of output
	read  quantile // seconds for a token of a prompt
	first quantile // seconds to the first token of prompts with little to read
	quiet quantile // seconds for which nothing is heard though requests are open
	// domainQuiet is the same of all endpoints in a failure domain together.
	domainQuiet quantile
}

// speeds is what an estimate of an endpoint rests on.
type speeds struct {
	// Token is the time between two tokens, 0 if unknown, and PerToken that for
	// reading one token of a prompt, in seconds.
	Token, PerToken float64
	// First is what a prompt takes besides, however short it is.
	First float64
}

func (e *engineSpeeds) sawTokens(perToken float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.token.add(perToken, tokenQuantile)
}

// sawFirst takes how long the first token of a prompt took of which so many tokens
// had to be read.
func (e *engineSpeeds) sawFirst(took float64, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if tokens >= leastRead {
		e.read.add(took/float64(tokens), readQuantile)
		return
	}
	e.first.add(took-e.perToken()*float64(tokens), readQuantile)
}

// perToken is the time for reading a token. e.mu is held.
func (e *engineSpeeds) perToken() float64 {
	if e.read.samples < leastSamples {
		return firstPerToken
	}
	return e.read.value
}

// of is what is expected of an endpoint whose own time for a token is known as far
// as own tells.
func (e *engineSpeeds) of(own quantile) speeds {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := speeds{PerToken: e.perToken()}
	if e.token.samples < leastSamples {
		return s
	}
	s.Token = e.token.value
	if e.first.samples >= leastSamples {
		// A prompt with nothing to read has its first token after one step.
		s.First = max(0, e.first.value-s.Token)
	}
	if own.samples < leastSamples {
		return s
	}
	slower := min(max(own.value/e.token.value, 1/maxSpeed), maxSpeed)
	s.Token *= slower
	s.PerToken *= slower
	return s
}

// pace measures one stream: the times between its events.
type pace struct {
	stride  float64 // tokens an event
	last    time.Time
	longest time.Duration // between two events
}

// event takes the arrival of an event and returns the time for a token, 0 if it
// doesn't tell.
func (p *pace) event(now time.Time) float64 {
	last := p.last
	p.last = now
	if last.IsZero() {
		return 0
	}
	p.longest = max(p.longest, now.Sub(last))
	return now.Sub(last).Seconds() / max(p.stride, 1)
}
