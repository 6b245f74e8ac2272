// Package pace estimates how long work takes at an endpoint, apart from the endpoint's load, from
// the percentages that the endpoint states. It is pure: times are passed in.
package pace

import (
	"cmp"
	"slices"
	"time"
)

const (
	// window is the age up to which all readings count. A stated value is 2.5 times the usual one in
	// spans of 600 ms, for 15% of the time, and a real change has to be recognized within 3 s.
	window = 2000 * time.Millisecond
	// lowQuantile of the readings is the estimate: short spans of slower work raise readings and
	// nothing lowers them. A median follows the spans when few readings are available.
	lowQuantile = 0.2
	// spacing is the time within which readings show the same moment and count once. Several routers
	// receive answers at nearly the same time.
	spacing = 150 * time.Millisecond
	// minReadings is the number of readings below which older ones count as well. Two of two readings
	// are in slow spans too often (2%).
	minReadings = 3
	// minSpan is the time that the readings have to cover before they are used: two spans of slower
	// work. With one, 7 of 648 paces were wrong at 27 routers and a quarter of the load.
	minSpan = 1200 * time.Millisecond
	// retention is how long readings count where there are no newer ones: three periods in which an
	// endpoint without work is asked for its pace.
	retention = 30 * time.Second
	// maxReadings bounds the memory of an estimator (256 bytes): what fits into the window.
	maxReadings = int(window/spacing) + 1
	// minPercent and maxPercent bound the readings that are taken. Others are malformed.
	minPercent = 10
	maxPercent = 2000
)

// reading is a percentage that the endpoint stated.
type reading struct {
	at      time.Duration // since the estimator's start
	percent float32
}

// Estimator estimates the pace of one endpoint. The zero value has no readings.
type Estimator struct {
	start    time.Time
	readings []reading // oldest first
	percent  float64   // 0 while there are too few readings
	class    classifier
}

// Valid reports whether a percentage can be a reading.
func Valid(percent float64) bool { return percent >= minPercent && percent <= maxPercent }

// AddFromPeer is Add for a percentage that the endpoint stated to another router. Readings that are
// older than the retention are ignored: an age is untrusted, and would date the estimator's start.
func (e *Estimator) AddFromPeer(now, at time.Time, percent float64) (changed bool) {
	if at.After(now) || now.Sub(at) > retention {
		return false
	}
	return e.Add(at, percent)
}

// Add records a percentage that the endpoint stated at a time, and reports whether the class changed
// from another known one. Malformed readings, and those of a moment that has one, are ignored.
func (e *Estimator) Add(at time.Time, percent float64) (changed bool) {
	if !Valid(percent) {
		return false
	}
	if len(e.readings) > 0 && at.Sub(e.LastReading()) > retention {
		*e = Estimator{} // the earlier pace is unknown by now, and a single reading doesn't confirm it
	}
	if e.start.IsZero() {
		e.start = at
	}
	r := reading{at: at.Sub(e.start), percent: float32(percent)}
	i, _ := slices.BinarySearchFunc(e.readings, r.at, func(r reading, at time.Duration) int { return cmp.Compare(r.at, at) })
	before := i > 0 && r.at-e.readings[i-1].at < spacing
	after := i < len(e.readings) && e.readings[i].at-r.at < spacing
	if before || after || i == 0 && len(e.readings) == maxReadings {
		return false
	}
	if len(e.readings) == maxReadings {
		e.readings = slices.Delete(e.readings, 0, 1)
		i--
	}
	e.readings = slices.Insert(e.readings, i, r)
	return e.update()
}

// update computes the estimate from the readings and reports whether the class changed from another
// known one.
func (e *Estimator) update() bool {
	recent := e.recent()
	span := recent[len(recent)-1].at - recent[0].at
	if len(recent) < minReadings || span < minSpan {
		e.percent, e.class = 0, classifier{}
		return false
	}
	percents := make([]float32, 0, maxReadings)
	for _, r := range recent {
		percents = append(percents, r.percent)
	}
	slices.Sort(percents)
	known := e.percent > 0
	e.percent = float64(percents[int(lowQuantile*float64(len(percents)-1))])
	return e.class.update(recent[len(recent)-1].at, e.percent/usualPercent) && known
}

// recent returns the readings that count: those in the window, and older ones if these are too few
// or too close to each other.
func (e *Estimator) recent() []reading {
	last := len(e.readings) - 1
	newest := e.readings[last].at
	first := last
	for first > 0 {
		age := newest - e.readings[first-1].at
		enough := last-first+1 >= minReadings && newest-e.readings[first].at >= minSpan
		if age > retention || age > window && enough {
			break
		}
		first--
	}
	return e.readings[first:]
}

// usualPercent is what endpoints state while work takes its usual time.
const usualPercent = 100

// Estimate is the estimated pace of an endpoint.
type Estimate struct {
	// Factor is how long work takes relative to the usual time; 0 if unknown.
	Factor float64
	// Class is the class of the factor, and Unknown if that is unknown.
	Class Class
}

// At returns the estimate at a time. The last value holds for the time in which readings count.
func (e *Estimator) At(now time.Time) Estimate {
	if e.percent == 0 || now.Sub(e.LastReading()) > retention {
		return Estimate{}
	}
	return Estimate{Factor: e.percent / usualPercent, Class: e.class.current}
}

// Stated reports whether the endpoint recently stated a percentage.
func (e *Estimator) Stated(now time.Time) bool {
	return len(e.readings) > 0 && now.Sub(e.LastReading()) <= retention
}

// LastReading returns the time of the newest reading, the zero time if there is none.
func (e *Estimator) LastReading() time.Time {
	if len(e.readings) == 0 {
		return time.Time{}
	}
	return e.start.Add(e.readings[len(e.readings)-1].at)
}
