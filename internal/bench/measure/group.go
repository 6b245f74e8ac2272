package measure

import "time"

// Group holds the measures of the requests of a class, a tier, or both.
type Group struct {
	Class string `json:"class,omitempty"`
	Tier  string `json:"tier,omitempty"`
	Measures
}

// Groups returns the measures of each class, each tier, and each class in each
// tier that has requests, in the order of classes and tiers.
func Groups(samples []Sample, window time.Duration, classes, tiers []string) []Group {
	var groups []Group
	add := func(class, tier string) {
		selected := selectSamples(samples, class, tier)
		if len(selected) > 0 {
			groups = append(groups, Group{Class: class, Tier: tier, Measures: Compute(selected, window)})
		}
	}
	for _, class := range classes {
		add(class, "")
	}
	for _, tier := range tiers {
		add("", tier)
	}
	for _, class := range classes {
		for _, tier := range tiers {
			add(class, tier)
		}
	}
	return groups
}

// selectSamples returns the samples of a class and tier; empty matches any.
func selectSamples(samples []Sample, class, tier string) []Sample {
	var selected []Sample
	for _, s := range samples {
		if class != "" && s.Arrival.Class != class {
			continue
		}
		if tier != "" && s.Arrival.Tier != tier {
			continue
		}
		selected = append(selected, s)
	}
	return selected
}

// Phase is a part of a run; From and To are relative to its start.
type Phase struct {
	Name     string
	From, To time.Duration
}

// PhaseMeasures holds the measures of one phase.
type PhaseMeasures struct {
	Name string  `json:"name"`
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
	// Offered is the rate of requests due in the phase, per second.
	// Attainment is the fraction of these requests that were attained (see the
	// package comment), and InTime the fraction answered in time.
	Offered    float64 `json:"offered_per_s"`
	Attainment float64 `json:"attainment"`
	InTime     float64 `json:"in_time_share"`
	// Goodput is the rate of answers in time that ended in the phase, per
	// second, whenever their requests were sent; GoodputTokens that of their
	// tokens.
	Goodput       float64 `json:"goodput_per_s"`
	GoodputTokens float64 `json:"goodput_tokens_per_s"`
}

// Phases returns the measures of each phase that lies within window.
func Phases(samples []Sample, phases []Phase, window time.Duration) []PhaseMeasures {
	out := make([]PhaseMeasures, 0, len(phases))
	for _, p := range phases {
		if p.To <= window {
			out = append(out, p.measure(samples))
		}
	}
	return out
}

func (p Phase) contains(at time.Duration) bool { return at >= p.From && at < p.To }

func (p Phase) measure(samples []Sample) PhaseMeasures {
	due, attained, inTime, inTimeEnded, tokens := 0, 0, 0, 0, 0
	for _, s := range samples {
		if !s.Measured() {
			continue
		}
		if p.contains(s.Arrival.At) {
			due++
			if s.Attained() {
				attained++
			}
			if s.InTime() {
				inTime++
			}
		}
		if s.InTime() && p.contains(s.Outcome.Ended) {
			inTimeEnded++
			tokens += s.Outcome.Tokens
		}
	}
	seconds := (p.To - p.From).Seconds()
	return PhaseMeasures{
		Name:          p.Name,
		From:          p.From.Seconds(),
		To:            p.To.Seconds(),
		Offered:       float64(due) / seconds,
		Attainment:    share(attained, due),
		InTime:        share(inTime, due),
		Goodput:       float64(inTimeEnded) / seconds,
		GoodputTokens: float64(tokens) / seconds,
	}
}
