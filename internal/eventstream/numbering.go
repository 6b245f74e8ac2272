package eventstream

import "sync"

const (
	// minSteps is the number of steps from one event to the next after which a service is known.
	minSteps = 256
	// maxGapShare is the share of steps with a gap up to which gaps are faults, and maxOtherStarts that of
	// streams that begin with another event than most.
	maxGapShare    = 1.0 / 64
	maxOtherStarts = 1.0 / 16
	// minStarts is the number of streams after which it is known with which event streams begin.
	minStarts = 32
	// maxSteps is the number of steps or starts at which counts are halved, so that a service whose numbers
	// change is known by the recent ones.
	maxSteps = 4096
)

// Numbering knows of each service whether its events are numbered without gaps, by what single runs
// of its endpoints show. It is safe for concurrent use; nil knows nothing.
type Numbering struct {
	mu       sync.Mutex
	services map[string]*serviceNumbers
}

// serviceNumbers holds the counts of a service.
type serviceNumbers struct {
	stepCount
	starts startCount
}

// stepCount counts the steps from one event to the next, and those with a gap.
type stepCount struct{ steps, gaps int }

// startCount counts the streams that began with the event of an ID, and those that didn't.
type startCount struct {
	id            string
	with, without int
}

// add counts a stream.
func (s *startCount) add(id string) {
	switch {
	case s.with == 0:
		s.id, s.with = id, 1
	case s.id == id:
		s.with++
	default:
		s.without++
	}
	if s.without > s.with {
		*s = startCount{id: id, with: 1}
	}
	if s.with > maxSteps {
		s.with /= 2
		s.without /= 2
	}
}

// known returns the ID of the event with which streams begin; empty if that isn't known.
func (s *startCount) known() string {
	if s.with < minStarts || float64(s.without) > maxOtherStarts*float64(s.with) {
		return ""
	}
	return s.id
}

// NewNumbering returns a Numbering that knows no service.
func NewNumbering() *Numbering { return &Numbering{services: make(map[string]*serviceNumbers)} }

// gapRule says what a gap between two numbers means.
type gapRule uint8

const (
	// gapsUnknown: too little has been seen of the service.
	gapsUnknown gapRule = iota
	// gapsAreFaults: the service numbers without gaps.
	gapsAreFaults
	// gapsAreUsual: the service leaves out numbers.
	gapsAreUsual
)

// rule returns what a gap means.
func (s *stepCount) rule() gapRule {
	switch {
	case s.steps < minSteps:
		return gapsUnknown
	case float64(s.gaps) <= maxGapShare*float64(s.steps):
		return gapsAreFaults
	}
	return gapsAreUsual
}

// of returns what a gap means at a service, and the ID of the event with which its streams begin, empty if
// that isn't known.
func (n *Numbering) of(service string) (rule gapRule, first string) {
	if n == nil {
		return gapsUnknown, ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	seen := n.services[service]
	if seen == nil {
		return gapsUnknown, ""
	}
	return seen.rule(), seen.starts.known()
}

// add counts the steps of one run, and with which event it began a stream; empty if it resumed one.
func (n *Numbering) add(service string, run stepCount, startID string) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	seen := n.services[service]
	if seen == nil {
		seen = &serviceNumbers{}
		n.services[service] = seen
	}
	if startID != "" {
		seen.starts.add(startID)
	}
	seen.steps += run.steps
	seen.gaps += run.gaps
	for seen.steps > maxSteps {
		seen.steps /= 2
		seen.gaps /= 2
	}
}
