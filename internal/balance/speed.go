package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// quantile estimates a quantile of durations that vary over orders of magnitude. Each sample
// moves the estimate up or down by a fraction of its value, weighted by the shares of samples
// that should lie above and below. It stores no samples and is robust to outliers.
type quantile struct {
	value   float64
	samples int
}

// quantileStep is the fraction by which a sample moves the estimate. The first samples move it
// further, so that a bad first sample is soon corrected.
const (
	quantileStep        = 0.05
	quantileInitialStep = 0.5
)

// add updates the estimate of the quantile q, from (0, 1), with a sample.
func (m *quantile) add(sample, q float64) {
	if sample <= 0 || math.IsNaN(sample) || math.IsInf(sample, 0) {
		return
	}
	m.samples++
	if m.value == 0 {
		m.value = sample
		return
	}
	step := max(quantileStep, quantileInitialStep/float64(m.samples))
	if sample > m.value {
		m.value *= 1 + step*q
		return
	}
	m.value *= 1 - step*(1-q)
}

const (
	// The outputTokenQuantile of the times between output tokens corresponds to a step without
	// concurrent prefill, as most steps are.
	outputTokenQuantile = 0.4
	// The prefillQuantile of the time to first token per prompt token corresponds to a prompt
	// that had the engine to itself. It is low, so that queueing in an overload isn't mistaken
	// for slow prefill.
	prefillQuantile = 0.1
	// minPrefillTokens is the prompt length from which prefill, rather than network latency,
	// dominates the time to first token.
	minPrefillTokens = 1024
	// minSamples is the number of samples from which an estimate is used.
	minSamples = 20
	// maxSpeedRatio limits the estimated speed ratio of an endpoint to its group.
	maxSpeedRatio = 4.0
	// defaultSecondsPerPromptToken is assumed until there are enough samples, which takes a
	// second or two.
	defaultSecondsPerPromptToken = 20e-6
)

// engineSpeeds holds the speed estimates of an endpoint group. It is safe for concurrent use.
type engineSpeeds struct {
	mu sync.Mutex
	speedQuantiles
	// usual holds the estimates at the usual pace. Only endpoints that state their pace contribute,
	// with their times divided by it.
	usual speedQuantiles
	// usualFactor is the median of the endpoints' factors.
	usualFactor quantile
	responseGap quantile // seconds without a response while requests are inflight
	// domainResponseGap is the same over all endpoints of a failure domain.
	domainResponseGap quantile
	// servedAt is when an endpoint of the group last served a request or began to, in Unix
	// nanoseconds.
	servedAt atomic.Int64
}

// speedQuantiles holds the quantiles of a group's speeds.
type speedQuantiles struct {
	outputToken quantile // seconds per output token
	promptToken quantile // seconds per prompt token
	firstToken  quantile // seconds to the first token of prompts with little to prefill
}

// speedEstimate is the expected speed of an endpoint.
type speedEstimate struct {
	// SecondsPerOutputToken is the time between two output tokens, 0 if unknown, and
	// SecondsPerPromptToken the prefill time of a prompt token.
	SecondsPerOutputToken, SecondsPerPromptToken float64
	// PrefillOverhead is the fixed part of a prompt's prefill time, in seconds.
	PrefillOverhead float64
}

// recordOutputToken records the seconds per output token at an endpoint of the given pace, 0 if it
// states none.
func (e *engineSpeeds) recordOutputToken(perToken, pace float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outputToken.add(perToken, outputTokenQuantile)
	if pace > 0 {
		e.usual.outputToken.add(perToken/pace, outputTokenQuantile)
	}
}

// recordFirstToken records the time to first token, in seconds, of a prompt of which the given
// number of tokens was prefilled at an endpoint of the given pace, 0 if it states none.
func (e *engineSpeeds) recordFirstToken(elapsed float64, tokens int, pace float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speedQuantiles.recordFirstToken(elapsed, tokens)
	if pace > 0 {
		e.usual.recordFirstToken(elapsed/pace, tokens)
	}
}

func (q *speedQuantiles) recordFirstToken(elapsed float64, tokens int) {
	if tokens >= minPrefillTokens {
		q.promptToken.add(elapsed/float64(tokens), prefillQuantile)
		return
	}
	q.firstToken.add(elapsed-q.secondsPerPromptToken()*float64(tokens), prefillQuantile)
}

// secondsPerPromptToken returns the prefill time of a token.
func (q *speedQuantiles) secondsPerPromptToken() float64 {
	if q.promptToken.samples < minSamples {
		return defaultSecondsPerPromptToken
	}
	return q.promptToken.value
}

// estimate returns the expected speed of an endpoint. If it states its pace, that is the speed at the
// usual pace scaled by the endpoint's pace. Otherwise pace is 0, and own estimates the endpoint's
// seconds per output token.
func (e *engineSpeeds) estimate(own quantile, pace float64) speedEstimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	if pace > 0 {
		e.recordPace(pace)
		usual := e.atUsualPace()
		return usual.groupEstimate().scaled(pace)
	}
	est := e.groupEstimate()
	if est.SecondsPerOutputToken == 0 || own.samples < minSamples {
		return est
	}
	ratio := min(max(own.value/e.outputToken.value, 1/maxSpeedRatio), maxSpeedRatio)
	est.SecondsPerOutputToken *= ratio
	est.SecondsPerPromptToken *= ratio
	return est
}

// factorTolerance is the relative difference up to which a factor doesn't move the usual one.
const factorTolerance = 0.03

func (e *engineSpeeds) recordPace(pace float64) {
	if math.Abs(pace-e.usualFactor.value) > factorTolerance*e.usualFactor.value {
		e.usualFactor.add(pace, 0.5)
	}
}

// atUsualPace returns the quantiles at the usual pace. Each comes from all samples until there are
// enough from endpoints that state their pace: those were taken at the endpoints' real pace.
func (e *engineSpeeds) atUsualPace() speedQuantiles {
	return speedQuantiles{
		outputToken: atUsualPace(e.usual.outputToken, e.outputToken, e.usualFactor.value),
		promptToken: atUsualPace(e.usual.promptToken, e.promptToken, e.usualFactor.value),
		firstToken:  atUsualPace(e.usual.firstToken, e.firstToken, e.usualFactor.value),
	}
}

func atUsualPace(usual, all quantile, usualFactor float64) quantile {
	if usual.samples >= minSamples || all.samples < minSamples {
		return usual
	}
	all.value /= usualFactor
	return all
}

// groupEstimate returns the expected speed of an endpoint of which nothing else is known.
func (q *speedQuantiles) groupEstimate() speedEstimate {
	est := speedEstimate{SecondsPerPromptToken: q.secondsPerPromptToken()}
	if q.outputToken.samples < minSamples {
		return est
	}
	est.SecondsPerOutputToken = q.outputToken.value
	if q.firstToken.samples >= minSamples {
		// A fully cached prompt has its first token after one decoding step.
		est.PrefillOverhead = max(0, q.firstToken.value-est.SecondsPerOutputToken)
	}
	return est
}

func (s speedEstimate) scaled(factor float64) speedEstimate {
	s.SecondsPerOutputToken *= factor
	s.SecondsPerPromptToken *= factor
	s.PrefillOverhead *= factor
	return s
}

// eventPace measures the time between the events of a stream.
type eventPace struct {
	stride     float64 // tokens per event
	last       time.Time
	longestGap time.Duration
}

// record records the arrival of an event and returns the time per token in seconds, or 0 for the
// first event.
func (p *eventPace) record(now time.Time) float64 {
	last := p.last
	p.last = now
	if last.IsZero() {
		return 0
	}
	p.longestGap = max(p.longestGap, now.Sub(last))
	return now.Sub(last).Seconds() / max(p.stride, 1)
}
