package tiered

// minCharge is the least number of tokens charged for a job, so that jobs that
// produce no tokens are shared fairly by count.
const minCharge = 1

// startCharge returns the tokens charged when the job starts: the estimated
// length of the answer, since the actual length isn't known yet.
func (s *Scheduler) startCharge(it *item) int64 {
	if s.cfg.Disabled.StartCharge {
		return 0
	}
	return it.class.estimatedTokens()
}

// chargeUpTo raises the job's charge to the given number of tokens.
func (s *Scheduler) chargeUpTo(it *item, tokens int64) {
	if tokens > it.charged {
		s.setCharge(it, tokens)
	}
}

// settleCharge replaces the estimated charge by the tokens actually produced.
func (s *Scheduler) settleCharge(it *item) {
	s.setCharge(it, max(it.produced, minCharge))
}

func (s *Scheduler) setCharge(it *item, tokens int64) {
	if s.cfg.Disabled.Fairness {
		return
	}
	s.tiers[it.job.Tier].charge(it.team, tokens-it.charged)
	it.charged = tokens
}
