package balance

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of Outlier.
const (
	defaultSlowFactor   = 3
	defaultFailureShare = 0.5
	defaultMinSamples   = 10
	defaultMaxShare     = 0.34
	defaultInterval     = time.Second
	defaultEjectFor     = 10 * time.Second
	defaultMaxEject     = time.Minute
	defaultSlowStart    = 30 * time.Second

	// resultWeight is the weight of a new result in the smoothed failure share.
	resultWeight = 0.2
	// initialSlowStartWeight is the weight of an endpoint whose ejection has just ended.
	initialSlowStartWeight = 0.05
)

// Outlier configures outlier detection: the ejection of endpoints that fail, or that are much slower
// than the other endpoints of their group, which have the same model or service. The zero value is
// usable: every field that is zero takes its default.
type Outlier struct {
	// Disabled turns outlier detection off, for comparison.
	Disabled bool
	// SlowFactor is the multiple of the group's median time above which an endpoint is ejected.
	SlowFactor float64
	// FailureShare is the smoothed share of failed attempts above which an endpoint is ejected.
	FailureShare float64
	// MinSamples is how many load reports or first tokens are needed before an endpoint can be
	// ejected as slow. MaxShare is the largest share of a group ejected at once.
	MinSamples int
	MaxShare   float64
	// Interval is the time between two comparisons.
	Interval time.Duration
	// EjectFor is the length of the first ejection; each one that follows is twice as long, up
	// to MaxEject.
	EjectFor time.Duration
	MaxEject time.Duration
	// SlowStart is the time after an ejection over which the weight grows back to 1.
	SlowStart time.Duration
}

func (o Outlier) withDefaults() Outlier {
	o.SlowFactor = cmp.Or(o.SlowFactor, defaultSlowFactor)
	o.FailureShare = cmp.Or(o.FailureShare, defaultFailureShare)
	o.MinSamples = cmp.Or(o.MinSamples, defaultMinSamples)
	o.MaxShare = cmp.Or(o.MaxShare, defaultMaxShare)
	o.Interval = cmp.Or(o.Interval, defaultInterval)
	o.EjectFor = cmp.Or(o.EjectFor, defaultEjectFor)
	o.MaxEject = cmp.Or(o.MaxEject, defaultMaxEject)
	o.SlowStart = cmp.Or(o.SlowStart, defaultSlowStart)
	return o
}

// health is the state of outlier detection for one endpoint.
type health struct {
	samples      int     // load reports or first tokens since the last ejection
	failureShare float64 // smoothed share of failed attempts
	ejectedUntil time.Time
	ejections    int // in a row, without a complete slow start in between
}

func (h *health) recordResult(res Result) {
	switch res {
	case ResultOK:
		h.failureShare -= resultWeight * h.failureShare
	case ResultFailed:
		h.failureShare += resultWeight * (1 - h.failureShare)
	case ResultRefused, ResultCancelled:
	}
}

func (h *health) recordSample(now time.Time) {
	if now.Before(h.ejectedUntil) {
		return // the work began before the ejection
	}
	h.samples++
}

// weight is 0 while the endpoint is ejected and then grows linearly to 1.
func (h *health) weight(now time.Time, o Outlier) float64 {
	if h.ejectedUntil.IsZero() {
		return 1
	}
	if now.Before(h.ejectedUntil) {
		return 0
	}
	elapsed := float64(now.Sub(h.ejectedUntil)) / float64(o.SlowStart)
	return min(1, initialSlowStartWeight+(1-initialSlowStartWeight)*elapsed)
}

func (h *health) eject(now time.Time, o Outlier) {
	if h.weight(now, o) == 1 {
		h.ejections = 0
	}
	duration := min(o.EjectFor<<min(h.ejections, 16), o.MaxEject)
	*h = health{ejectedUntil: now.Add(duration), ejections: h.ejections + 1}
}

// groupMember is one endpoint in the comparison of a group.
type groupMember struct {
	endpoint     string
	group        string
	service      time.Duration
	firstToken   time.Duration
	samples      int
	failureShare float64
	ejected      bool
}

// outliers returns those members of a group to eject, the worst first. With those already ejected
// they are at most MaxShare of the group.
func outliers(members []groupMember, o Outlier) []groupMember {
	remaining := int(o.MaxShare * float64(len(members)))
	service := median(members, func(p groupMember) time.Duration { return p.service })
	firstToken := median(members, func(p groupMember) time.Duration { return p.firstToken })
	severity := func(p groupMember) float64 {
		slow := slowness(p, service, firstToken, o)
		return max(slow/o.SlowFactor, p.failureShare/o.FailureShare)
	}
	var found []groupMember
	for _, p := range members {
		if p.ejected {
			remaining--
			continue
		}
		if severity(p) > 1 {
			found = append(found, p)
		}
	}
	slices.SortStableFunc(found, func(a, b groupMember) int { return cmp.Compare(severity(b), severity(a)) })
	return found[:min(len(found), max(remaining, 0))]
}

// slowness is the ratio of the member's time to the median: of its time per slot, which doesn't
// depend on its queue, or else of its time to the first token.
func slowness(p groupMember, service, firstToken time.Duration, o Outlier) float64 {
	if p.samples < o.MinSamples {
		return 0
	}
	if p.service > 0 && service > 0 {
		return float64(p.service) / float64(service)
	}
	if p.service == 0 && firstToken > 0 {
		return float64(p.firstToken) / float64(firstToken)
	}
	return 0
}

// median is the lower median over the members that aren't ejected and whose value is known; 0 if
// there are none.
func median(members []groupMember, value func(groupMember) time.Duration) time.Duration {
	var known []time.Duration
	for _, p := range members {
		if v := value(p); v > 0 && !p.ejected {
			known = append(known, v)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
