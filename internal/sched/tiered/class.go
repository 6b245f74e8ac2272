package tiered

import "time"

// defaultTokens is the estimated length of an answer until one of the class has
// finished.
const defaultTokens = 256

// marginRuns is how many mean run times must be left before a job's deadline
// when it starts.
const marginRuns = 2

// average is an exponentially weighted moving average in which a new value has
// the weight 1/averageWeight. It uses integer arithmetic, so that results are
// exactly reproducible.
type average struct {
	scaled int64 // mean multiplied by averageWeight
	seen   bool
}

const averageWeight = 8

func (a *average) add(v int64) {
	if !a.seen {
		a.seen = true
		a.scaled = v * averageWeight
		return
	}
	a.scaled += v - a.scaled/averageWeight
}

func (a *average) mean() int64 { return a.scaled / averageWeight }

// class holds the scheduler's state and statistics of a request class.
type class struct {
	index int
	// unstarted holds the waiting jobs that have never held a slot, in order
	// of arrival. Its head is protected: it doesn't count towards the queue's
	// limits and is never displaced.
	unstarted list

	tokens     average // of a complete answer
	runTime    average // nanoseconds of slot time of a complete answer
	firstToken average // nanoseconds from the start to the first token

	// unserved reports whether the class has a waiting job and its oldest one
	// hasn't been started since unservedSince. serviceOrder orders unserved
	// classes by that time.
	unserved      bool
	unservedSince time.Time
	serviceOrder  uint64
}

// estimatedTokens returns the expected length of an answer in tokens, at least
// 1.
func (c *class) estimatedTokens() int64 {
	if !c.tokens.seen {
		return defaultTokens
	}
	return max(c.tokens.mean(), 1)
}

// deadlineMargin returns how long before its deadline a job offered now is
// dropped if it hasn't started: marginRuns mean run times, since the lengths of
// answers vary widely, but at most half of the time left, so that no
// measurement, right or wrong, locks a class out. It is 0 without a
// measurement.
func (c *class) deadlineMargin(timeLeft int64) int64 {
	return min(marginRuns*c.runTime.mean(), timeLeft/2)
}

// recordFinished updates the averages with a job that finished.
func (c *class) recordFinished(it *item) {
	c.runTime.add(int64(it.runTime))
	c.tokens.add(it.produced)
}

// class returns the class with the name, creating it if necessary.
func (s *Scheduler) class(name string) *class {
	c, ok := s.classes[name]
	if ok {
		return c
	}
	c = &class{index: len(s.classList), unstarted: list{kind: classList}}
	s.classes[name] = c
	s.classList = append(s.classList, c)
	return c
}

// oldest returns the class's waiting job that arrived first, or nil.
func (s *Scheduler) oldest(c *class) *item {
	first := c.unstarted.head
	for _, it := range s.resumed {
		if it.class != c {
			continue
		}
		if first == nil || it.arrival < first.arrival {
			first = it
		}
	}
	return first
}

// markUnserved records that the class has a waiting job.
func (s *Scheduler) markUnserved(now time.Time, c *class) {
	if c.unserved {
		return
	}
	c.unserved = true
	s.moveToBack(now, c)
}

// markServed records that the class's oldest job has started.
func (s *Scheduler) markServed(now time.Time, c *class) {
	c.unserved = s.oldest(c) != nil
	s.moveToBack(now, c)
}

// moveToBack moves the class to the end of the reserve's service order.
func (s *Scheduler) moveToBack(now time.Time, c *class) {
	c.unservedSince = now
	c.serviceOrder = s.nextServiceOrder
	s.nextServiceOrder++
}
