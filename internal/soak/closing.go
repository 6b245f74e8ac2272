package soak

// HasClosingAnswers reports whether endpoints end answers with their connections, without a length and
// chunks, and break some streams off that way, in the runs of a seed: every second block of 128000
// seeds.
func HasClosingAnswers(seed uint64) bool { return seed/128000%2 == 1 }

const (
	// closingShare is the share of such answers.
	closingShare = 0.5
	// BrokenClosingShare is the share of the streams among them that end inside an event.
	BrokenClosingShare = 0.2
)

func closingShareOf(seed uint64) float64 {
	if HasClosingAnswers(seed) || HasDisorder(seed) {
		return closingShare
	}
	return 0
}
