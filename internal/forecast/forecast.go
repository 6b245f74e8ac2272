// Package forecast estimates when a request would be answered at an endpoint if it were sent now,
// and what that is worth compared with other endpoints. It is pure: the caller describes the
// endpoint and the request in one value.
package forecast

import (
	"time"

	"coveferry/internal/age"
)

// Tiers is the number of priority tiers that are told apart; 0 is the highest.
const Tiers = 10

// Endpoint describes an endpoint as one router sees it.
type Endpoint struct {
	// SecondsPerPromptToken and SecondsPerOutputToken are its speeds now, scaled by its pace.
	SecondsPerPromptToken, SecondsPerOutputToken float64
	// PrefillOverhead is the fixed part of a prompt's prefill time, in seconds.
	PrefillOverhead float64
	// Running and Waiting are the requests of all routers according to its last report: those
	// that it answers, and those that it accepted and hasn't begun to answer. ReportAge is the
	// age of that report, unknown if there is none.
	Running, Waiting int
	ReportAge        age.Age
	// Slots is the number of requests that it runs at once, 0 if unknown.
	Slots int
	// OwnTokens is the number of prompt tokens, by tier, that this router sent and that the
	// endpoint hasn't prefilled yet.
	OwnTokens [Tiers]int
	// Unreported estimates the requests that all routers sent since the report.
	Unreported float64
	// Inflow is the work that an endpoint is sent on average, in seconds of prefill a second.
	Inflow float64
	// Prompts describes the prompts that wait there.
	Prompts Prompts
}

// Prompts describes the prompts that wait at an endpoint.
type Prompts struct {
	// Tokens is the mean number of tokens that each has to prefill.
	Tokens float64
	// TierShare is each tier's share of these tokens.
	TierShare [Tiers]float64
	// SlotSeconds is the mean time for which one of the requests that hold the slots holds its own.
	SlotSeconds float64
}

// Request describes the request.
type Request struct {
	Tier int
	// PrefillTokens is the number of prompt tokens that the endpoint hasn't cached, and
	// OutputTokens the expected length of the answer.
	PrefillTokens, OutputTokens int
}

// Input is all that a forecast depends on.
type Input struct {
	Endpoint Endpoint
	Request  Request
}

// Answer says when a request would be answered, as times from now.
type Answer struct {
	// Start is when its prefill begins, and Prefill how long that takes.
	Start, Prefill time.Duration
	// First is when the first event arrives, and End the last one.
	First, End time.Duration
	// Paused is the part of the time between them during which the endpoint prefills less urgent
	// prompts that it has now.
	Paused time.Duration
}

// Answer forecasts the answer to the request.
//
// A prompt waits for those of its own tier and above, and for a slot. After the first event, the
// endpoint still prefills what is left of its backlog, chunk by chunk between the tokens of the
// stream. A chunk takes many times as long as a token, so that the stream hardly advances until
// then.
func (in Input) Answer() Answer {
	e, r := &in.Endpoint, in.Request
	ahead, all := e.backlog(r.Tier), e.backlog(Tiers-1)
	prefill := e.SecondsPerPromptToken*float64(r.PrefillTokens) + e.PrefillOverhead
	start := max(ahead/(1-e.overtaking(r.Tier)), e.slotWait(r.Tier))
	first := start + prefill + e.SecondsPerOutputToken
	paused := max(0, all-start)
	end := first + paused + e.SecondsPerOutputToken*float64(max(0, r.OutputTokens-1))
	return Answer{Start: seconds(start), Prefill: seconds(prefill), First: seconds(first), End: seconds(end), Paused: seconds(paused)}
}

// Backlog returns how long the endpoint takes to prefill the prompts that it has now.
func (e *Endpoint) Backlog() time.Duration { return seconds(e.backlog(Tiers - 1)) }

// Reported returns how long the prompts of the last report take to prefill.
func (e *Endpoint) Reported() time.Duration {
	return seconds(e.SecondsPerPromptToken * float64(e.Waiting) * e.Prompts.Tokens)
}

// Sent estimates how many requests all routers sent to the endpoint since its report, if the mean
// of the reported backlogs at the endpoints is mean and this router, which sends the given share of
// all requests, sent own of them.
//
// The mean inflow over the age of the report is corrected by the own requests: the result is the
// posterior mean of a gamma distribution with a prior of one request. Routers see about the same
// reports, so that an endpoint with a longer backlog than the others gets less.
func (e *Endpoint) Sent(mean time.Duration, own, share float64) float64 {
	reportAge, _ := e.ReportAge.Get()
	perPrompt := e.SecondsPerPromptToken * e.Prompts.Tokens
	if perPrompt <= 0 || share <= 0 {
		return own
	}
	expected := e.Inflow * reportAge.Seconds() / perPrompt
	if reported := e.Reported(); reported > mean {
		expected *= float64(mean) / float64(reported)
	}
	if expected <= 0 {
		return own
	}
	all := (own + 1) / (share + 1/expected)
	return own + (1-share)*all
}

// backlog returns the time, in seconds, that the endpoint takes to prefill the prompts of the tier
// and above: those of all routers as estimated, or this router's own if that is more.
func (e *Endpoint) backlog(tier int) float64 {
	tier = min(max(tier, 0), Tiers-1)
	own, share := 0, 0.0
	for t := 0; t <= tier; t++ {
		own += e.OwnTokens[t]
		share += e.Prompts.TierShare[t]
	}
	// What was sent since the report was prefilled since as well, as far as there was time for it.
	reportAge, _ := e.ReportAge.Get()
	tokens := (float64(e.Waiting) + e.Unreported) * e.Prompts.Tokens
	all := max(0, e.SecondsPerPromptToken*tokens-reportAge.Seconds())
	return max(all*min(share, 1), e.SecondsPerPromptToken*float64(own))
}

// maxOvertaking bounds the share of an endpoint's time that goes to more urgent prompts which
// arrive while a request waits, so that its wait stays finite.
const maxOvertaking = 0.8

// overtaking returns the share of the endpoint's time that goes to more urgent prompts.
func (e *Endpoint) overtaking(tier int) float64 {
	share := 0.0
	for t := range min(max(tier, 0), Tiers) {
		share += e.Prompts.TierShare[t]
	}
	return min(e.Inflow*share, maxOvertaking)
}

// usableSlotShare is the share of the slots that requests of a tier may fill while there are more
// urgent ones. The rest stays free for these, which would otherwise preempt running ones.
const usableSlotShare = 0.9

// slotWait returns how long, in seconds, a request of the tier waits for a slot.
func (e *Endpoint) slotWait(tier int) float64 {
	if e.Slots <= 0 {
		return 0
	}
	usable := float64(e.Slots)
	if e.overtaking(tier) > 0 {
		usable *= usableSlotShare
	}
	waiting := float64(e.Running+e.Waiting) + e.Unreported - usable
	// Since the report, requests have ended in proportion to the time.
	reportAge, _ := e.ReportAge.Get()
	return max(0, waiting*e.Prompts.SlotSeconds/usable-reportAge.Seconds())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
