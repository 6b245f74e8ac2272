package pace

import (
	"iter"
	"math"
	"time"
)

// Class is a coarse class of paces with a ratio of classRatio between two of them. Higher classes
// are slower. Routers with slightly different readings have the same classes.
type Class int8

// Unknown is the class of an endpoint whose pace is unknown.
const Unknown Class = 0

const (
	classRatio = 1.25
	// usualClass is the class of the factor 1. The classes of all valid readings are above 0.
	usualClass Class = 20
	// hysteresis is the distance, in classes, from the center of the current class at which the class
	// changes at once. A change by 2.4 times exceeds it.
	hysteresis = 0.75
	// settleTime is how long another class has to be the nearest one for the class to change within
	// the hysteresis. Without it the class would depend on earlier paces, which another router may not
	// have seen.
	settleTime = 3 * time.Second
)

// classifier assigns a class to a factor that changes over time.
type classifier struct {
	current Class
	// differsSince is the time since which another class is the nearest one; valid if differs is set.
	differsSince time.Duration
	differs      bool
}

// position returns a factor's place among the classes, which are at whole numbers.
func position(factor float64) float64 {
	return math.Log(factor)/math.Log(classRatio) + float64(usualClass)
}

// update records a factor and reports whether the class changed. at is the time since a fixed moment.
func (c *classifier) update(at time.Duration, factor float64) bool {
	position := position(factor)
	nearest := Class(math.Round(position))
	if nearest == c.current {
		c.differs = false
		return false
	}
	if !c.differs {
		c.differs, c.differsSince = true, at
	}
	held := c.current != Unknown && math.Abs(position-float64(c.current)) <= hysteresis
	if held && at-c.differsSince < settleTime {
		return false
	}
	c.current, c.differs = nearest, false
	return true
}

// toleratedSteps is the number of classes above the usual one that count as usual: endpoints that are
// alike may be in neighboring classes.
const toleratedSteps = 1

// Usual is the class with which the endpoints of a group are compared.
type Usual struct {
	class Class
	// Uneven is set if some endpoint is slower than usual.
	Uneven bool
}

const (
	// minForQuartile is the number of known classes from which the lower quartile is not their lowest.
	minForQuartile = 5
	// minWeight bounds what a single wrong reading can take from an endpoint. Measured paces differ by
	// 2.43 times.
	minWeight = 0.25
)

// UsualOf returns the usual class: the lower quartile of those known, which stays the fast endpoints'
// class while up to three quarters are slow. Of three or four it is the median, the lower one of four,
// and of two the class in between: the lowest may be wrong.
func UsualOf(classes iter.Seq[Class]) Usual {
	var counts [math.MaxInt8 + 1]int
	known, slowest := 0, Unknown
	for c := range classes {
		if c <= Unknown {
			continue
		}
		counts[c]++
		known++
		slowest = max(slowest, c)
	}
	if known == 0 {
		return Usual{}
	}
	class := classAt(counts[:], (known-1)/4)
	switch {
	case known == 2:
		class = (class + slowest) / 2
	case known < minForQuartile:
		class = classAt(counts[:], (known-1)/2)
	}
	u := Usual{class: class}
	u.Uneven = u.Slow(slowest)
	return u
}

// classAt returns the class at a position in ascending order, by the number of each.
func classAt(counts []int, position int) Class {
	for c, n := range counts {
		if position -= n; position < 0 {
			return Class(c)
		}
	}
	return Unknown
}

// Slow reports whether a class is slower than usual.
func (u Usual) Slow(c Class) bool { return u.class != Unknown && c > u.class+toleratedSteps }

// Weight returns the share of work for an endpoint of a class, relative to a usual endpoint: 1 unless
// it is slow. Fast endpoints and those whose pace is unknown have the weight of usual ones, so that
// only slow endpoints' weights change while paces become known.
func (u Usual) Weight(c Class) float64 {
	if !u.Slow(c) {
		return 1
	}
	return max(minWeight, math.Pow(classRatio, -float64(c-u.class)))
}
