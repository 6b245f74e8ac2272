package agent

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the agent's counters.
type metrics struct {
	ended     *prometheus.CounterVec
	refused   *prometheus.CounterVec
	preempted *prometheus.CounterVec
	tokens    prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_agent_attempts_ended_total",
			Help: "Attempts whose answer was relayed, by how it ended.",
		}, []string{"class", "ending"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_agent_attempts_refused_total",
			Help: "Attempts that ended before an answer, by reason.",
		}, []string{"class", "reason"}),
		preempted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_agent_preempted_total",
			Help: "Times a running attempt was stopped for a higher tier, by its class.",
		}, []string{"class"}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coveferry_agent_tokens_total",
			Help: "Tokens that the engine produced.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.ended, m.refused, m.preempted, m.tokens)
	}
	return m
}
