package capacity

import "github.com/cockroachdb/errors"

// Settings holds parameters of mechanisms that the requirements leave to the
// design. Rows that use them are estimates until the mechanism is implemented and
// measured.
type Settings struct {
	// SubsetPerModel is the number of endpoints of each model that a router
	// uses.
	SubsetPerModel float64 `json:"subset_per_model"`
	// ReadersPerDomain is the number of processes of a failure domain that read
	// the configuration service.
	ReadersPerDomain float64 `json:"readers_per_domain"`
	// Partners is the number of partners that each process chooses to exchange
	// updates with; on average, as many others choose it.
	Partners float64 `json:"partners"`
	// HeartbeatSeconds is the time between two exchanges with a partner, and
	// ExchangeBytes the payload of one with its reply.
	HeartbeatSeconds float64 `json:"heartbeat_seconds"`
	ExchangeBytes    float64 `json:"exchange_bytes"`
	// OfferBytes is the payload that announces a version to a partner.
	OfferBytes float64 `json:"offer_bytes"`
	// CreditPeriodSeconds is the time between two asks (requests for credits)
	// of a limit, and CreditTTLSeconds their validity.
	CreditPeriodSeconds float64 `json:"credit_period_seconds"`
	CreditTTLSeconds    float64 `json:"credit_ttl_seconds"`
	// PingSeconds is the time after which an idle connection is pinged.
	PingSeconds float64 `json:"ping_seconds"`
	// SLOSeries is the maximum number of pairs of class and tier that a router
	// records.
	SLOSeries float64 `json:"slo_series"`
	// ReportSeconds is the interval of load reports on an open stream.
	ReportSeconds float64 `json:"report_seconds"`
	// QueueEntries is the maximum number of requests waiting at an endpoint.
	QueueEntries float64 `json:"queue_entries"`
	// RememberSeconds is the time for which an agent remembers an idempotency
	// key.
	RememberSeconds float64 `json:"remember_seconds"`
	// ListBytesPerSecond is the rate at which a router reads the platform's list
	// of VMs.
	ListBytesPerSecond float64 `json:"list_bytes_per_second"`
	// StatusBytes is the payload of one process's status.
	StatusBytes float64 `json:"status_bytes"`
	// RackVMs is the number of VMs in a rack, which isn't part of the
	// requirements.
	RackVMs float64 `json:"rack_vms"`
}

// Check returns an error marked ErrBadInput if a setting isn't positive.
func (s Settings) Check() error {
	for _, v := range []float64{
		s.SubsetPerModel, s.ReadersPerDomain, s.Partners, s.HeartbeatSeconds, s.ExchangeBytes, s.OfferBytes, s.CreditPeriodSeconds, s.CreditTTLSeconds, s.PingSeconds, s.SLOSeries,
		s.ReportSeconds, s.QueueEntries, s.RememberSeconds, s.ListBytesPerSecond, s.StatusBytes, s.RackVMs,
	} {
		if !(v > 0) {
			return errors.Mark(errors.New("every setting must be given and above 0"), ErrBadInput)
		}
	}
	return nil
}

func setting(name string, value float64) Quantity {
	return Quantity{Value: value, Sources: []Source{Source("setting: " + name)}}
}
