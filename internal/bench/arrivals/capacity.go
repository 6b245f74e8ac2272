package arrivals

import "time"

// meanQuantiles is the number of quantiles averaged to compute a mean.
const meanQuantiles = 1000

// bytesPerWord and bytesPerToken are used to estimate the prompt's tokens.
const (
	bytesPerWord  = 6
	bytesPerToken = 4
)

// Shape holds the parameters that determine the capacity of a set of engines.
type Shape struct {
	Engines int
	// Slots is the number of answers that an engine produces concurrently.
	Slots int
	// TokenTime is the duration of a decode step for one running answer;
	// BatchSlope is added for each further one.
	TokenTime  time.Duration
	BatchSlope time.Duration
	// PrefillPerToken is the prefill time of one prompt token.
	PrefillPerToken time.Duration
}

// StepTime returns the duration of a decode step with all slots in use.
func (s Shape) StepTime() time.Duration {
	return s.TokenTime + time.Duration(s.Slots-1)*s.BatchSlope
}

// TokensPerSecond returns the decode throughput of all engines with all slots in
// use.
func (s Shape) TokensPerSecond() float64 {
	return float64(s.Engines*s.Slots) / s.StepTime().Seconds()
}

// RequestsPerSecond returns the rate of a user's requests that the engines can
// answer without prefix-cache hits.
func (s Shape) RequestsPerSecond(u User) float64 {
	decode := MeanTokens(u) * s.StepTime().Seconds() / float64(s.Slots)
	prefill := meanPromptTokens(u) * s.PrefillPerToken.Seconds()
	return float64(s.Engines) / (decode + prefill)
}

// Load returns the work of the arrivals as a multiple of the engines' capacity
// during d, without prefix-cache hits.
func (s Shape) Load(list []Arrival, d time.Duration) float64 {
	work := 0.0
	for _, a := range list {
		decode := float64(a.Tokens) * s.StepTime().Seconds() / float64(s.Slots)
		prefill := float64(len(a.Prompt)) / bytesPerToken * s.PrefillPerToken.Seconds()
		work += decode + prefill
	}
	return work / (float64(s.Engines) * d.Seconds())
}

// MeanTokens returns the mean answer length of a user over all its classes.
func MeanTokens(u User) float64 {
	return u.weightedMean(Class.meanTokens)
}

func meanPromptTokens(u User) float64 {
	return u.weightedMean(func(c Class) float64 {
		return float64(c.PromptWords*bytesPerWord) / bytesPerToken
	})
}

// weightedMean returns the mean of a property of the classes, weighted by Share.
func (u User) weightedMean(of func(Class) float64) float64 {
	sum, shares := 0.0, 0.0
	for _, c := range u.Classes {
		sum += c.Share * of(c)
		shares += c.Share
	}
	return sum / shares
}

func (c Class) meanTokens() float64 {
	sum := 0
	for i := range meanQuantiles {
		sum += c.tokensAt((float64(i) + 0.5) / meanQuantiles)
	}
	return float64(sum) / meanQuantiles
}
