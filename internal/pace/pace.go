// Package pace estimates how long work takes at an endpoint, apart from the endpoint's load, from
// the percentages that the endpoint states. It is pure: times are passed in.
package pace

import (
	"cmp"
	"math"
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
	// Where no own reading is as low, a quarter of the readings, one in agreeing, or maxAgreeing have to
	// be as low as the estimate: a peer may be wrong.
	agreeing    = 4
	maxAgreeing = 3
	// minOwnReadings is the number of own readings from which they are used alone. Three are all in
	// slow spans too often (0.3%).
	minOwnReadings = 4
	// ownWindow is the age up to which own readings count while there are fewer, and maxOwnLag how much
	// older than the newest reading the newest of them may be: four, one a second, are enough.
	ownWindow = 3 * time.Second
	maxOwnLag = time.Second
	// spacing is the time within which readings show the same moment and count once. Several routers
	// receive answers at nearly the same time.
	spacing = 150 * time.Millisecond
	// minReadings is the number of readings below which older ones count as well. Two of two readings
	// are in slow spans too often (2%).
	minReadings = 3
	// minSpan is the time that the readings have to cover before they are used: two spans of slower
	// work. Within one span, all readings may be slow ones.
	minSpan = 1200 * time.Millisecond
	// retention is how long readings count where there are no newer ones: three periods in which an
	// endpoint without work is asked for its pace.
	retention = 30 * time.Second
	// maxReadings bounds the memory of an estimator (336 bytes): what fits into the windows.
	maxReadings = int(ownWindow/spacing) + 1
	// minPercent and maxPercent bound the readings that are taken. Others are malformed.
	minPercent = 10
	maxPercent = 2000
)

// reading is a percentage that the endpoint stated.
type reading struct {
	at      time.Duration // since the estimator's start
	percent float32
	own     bool // stated to this router
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

// Add records a percentage that the endpoint stated to this router at a time, and reports whether the
// class changed from another known one. Malformed readings, and those of a moment that has an own one,
// are ignored.
func (e *Estimator) Add(at time.Time, percent float64) (changed bool) {
	return e.add(at, percent, true)
}

// AddFromPeer is Add for a percentage that the endpoint stated to another router. It is ignored if the
// moment has a reading, and if it is older than the retention: an age is untrusted, and would date the
// estimator's start.
func (e *Estimator) AddFromPeer(now, at time.Time, percent float64) (changed bool) {
	if at.After(now) || now.Sub(at) > retention {
		return false
	}
	return e.add(at, percent, false)
}

func (e *Estimator) add(at time.Time, percent float64, own bool) (changed bool) {
	if !Valid(percent) {
		return false
	}
	if len(e.readings) > 0 && at.Sub(e.LastReading()) > retention {
		*e = Estimator{} // the earlier pace is unknown by now, and a single reading doesn't confirm it
	}
	if e.start.IsZero() {
		e.start = at
	}
	return e.insert(reading{at: at.Sub(e.start), percent: float32(percent), own: own}) && e.update()
}

// insert inserts a reading unless its moment has one, and reports whether it did. An own reading
// replaces those of peers.
func (e *Estimator) insert(r reading) bool {
	sameMoment := func(other reading) bool { return (r.at - other.at).Abs() < spacing }
	if slices.ContainsFunc(e.readings, func(other reading) bool { return sameMoment(other) && (other.own || !r.own) }) {
		return false
	}
	e.readings = slices.DeleteFunc(e.readings, sameMoment)
	i, _ := slices.BinarySearchFunc(e.readings, r.at, func(r reading, at time.Duration) int { return cmp.Compare(r.at, at) })
	if len(e.readings) == maxReadings {
		if i == 0 {
			return false
		}
		e.readings = slices.Delete(e.readings, 0, 1)
		i--
	}
	e.readings = slices.Insert(e.readings, i, r)
	return true
}

// update computes the estimate from the readings and reports whether the class changed from another
// known one.
func (e *Estimator) update() bool {
	newest := e.readings[len(e.readings)-1].at
	used := e.recentOwn()
	if len(used) < minOwnReadings || !sufficient(used) || newest-used[len(used)-1].at > maxOwnLag {
		used = e.recent()
	}
	if !sufficient(used) {
		e.percent, e.class = 0, classifier{}
		return false
	}
	known := e.percent > 0
	e.percent = float64(lowOf(used))
	return e.class.update(newest, e.percent/usualPercent) && known
}

// lowOf returns the estimate from readings: their lowQuantile, if an own reading is as low, and
// otherwise a value that a quarter of them or maxAgreeing don't exceed.
func lowOf(readings []reading) float32 {
	percents := make([]float32, 0, maxReadings)
	lowestOwn := float32(math.MaxFloat32)
	for _, r := range readings {
		percents = append(percents, r.percent)
		if r.own {
			lowestOwn = min(lowestOwn, r.percent)
		}
	}
	slices.Sort(percents)
	last := len(percents) - 1
	agreed := percents[min(last/agreeing, maxAgreeing-1)]
	return min(agreed, max(percents[int(lowQuantile*float64(last))], lowestOwn))
}

// sufficient reports whether readings, oldest first, are enough for an estimate.
func sufficient(readings []reading) bool {
	return len(readings) >= minReadings && readings[len(readings)-1].at-readings[0].at >= minSpan
}

// recentOwn returns the own readings that count: those in the window before the newest one of them,
// and older ones if these are too few. Beside enough of them, readings of peers don't count: they may
// be wrong, and more.
func (e *Estimator) recentOwn() []reading {
	own := make([]reading, 0, maxReadings)
	for i := len(e.readings) - 1; i >= 0; i-- {
		r := e.readings[i]
		if !r.own {
			continue
		}
		if len(own) > 0 {
			if age := own[0].at - r.at; age > ownWindow || age > window && len(own) >= minOwnReadings {
				break
			}
		}
		own = append(own, r)
	}
	slices.Reverse(own)
	return own
}

// recent returns the readings of all routers that count: those in the window, and older ones if these
// are too few or too close to each other.
func (e *Estimator) recent() []reading {
	last := len(e.readings) - 1
	newest := e.readings[last].at
	first := last
	for first > 0 {
		age := newest - e.readings[first-1].at
		if age > retention || age > window && sufficient(e.readings[first:]) {
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
