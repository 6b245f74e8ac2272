package rollout

import (
	"cmp"
	"time"
)

// Tuning holds the parameters of the dissemination. A zero field takes the
// value of DefaultTuning.
type Tuning struct {
	// Readers is how many processes of a failure domain read the configuration
	// service. SpareReaders is how many more may read in place of readers that
	// get no usable answer.
	Readers, SpareReaders int
	// LocalPartners and RemotePartners are the numbers of partners in the
	// process's own failure domain and in others.
	LocalPartners, RemotePartners int
	// Heartbeat is the longest time between two messages to a partner.
	Heartbeat time.Duration
	// PeerTimeout is how long after its last report a process counts as alive.
	PeerTimeout time.Duration
	// StartWait bounds how long a process that has just started waits for
	// reports of peers before it serves with the version that it has.
	StartWait time.Duration
	// AcceptUnconfirmedAfter is how long after StartWait a process also counts
	// reports of unconfirmed peers. It lets a fleet that starts as a whole, in
	// which no process is confirmed, become confirmed.
	AcceptUnconfirmedAfter time.Duration
	// ConfirmPeers and ConfirmDomains are the numbers of peers and failure
	// domains whose reports confirm a version. They are capped by how many
	// exist.
	ConfirmPeers, ConfirmDomains int
	// TransferWait is how long a transfer in progress holds back other
	// transfers of the same version.
	TransferWait time.Duration
	// IgnorePeerFor is how long offers of a peer are ignored after it failed to
	// prove one.
	IgnorePeerFor time.Duration
	// RetryMin and RetryMax bound the delay before a failed partner is retried;
	// it doubles with each failure.
	RetryMin, RetryMax time.Duration
	// PauseThreshold is the gap between two ticks from which the process
	// assumes that it was paused, so that its view of its peers is out of date.
	PauseThreshold time.Duration
	// AllProcessesRead makes each process read the service and keep no
	// partners. It is the baseline for comparisons.
	AllProcessesRead bool
}

// DefaultTuning returns the defaults.
func DefaultTuning() Tuning {
	return Tuning{
		Readers: 2, SpareReaders: 1,
		LocalPartners: 2, RemotePartners: 2,
		Heartbeat:              2 * time.Second,
		PeerTimeout:            10 * time.Second,
		StartWait:              5 * time.Second,
		AcceptUnconfirmedAfter: 30 * time.Second,
		ConfirmPeers:           3, ConfirmDomains: 2,
		TransferWait:  300 * time.Millisecond,
		IgnorePeerFor: 30 * time.Second,
		RetryMin:      time.Second, RetryMax: 5 * time.Second,
		PauseThreshold: 4 * time.Second,
	}
}

func (t Tuning) withDefaults() Tuning {
	d := DefaultTuning()
	return Tuning{
		Readers: cmp.Or(t.Readers, d.Readers), SpareReaders: cmp.Or(t.SpareReaders, d.SpareReaders),
		LocalPartners: cmp.Or(t.LocalPartners, d.LocalPartners), RemotePartners: cmp.Or(t.RemotePartners, d.RemotePartners),
		Heartbeat: cmp.Or(t.Heartbeat, d.Heartbeat), PeerTimeout: cmp.Or(t.PeerTimeout, d.PeerTimeout),
		StartWait: cmp.Or(t.StartWait, d.StartWait), AcceptUnconfirmedAfter: cmp.Or(t.AcceptUnconfirmedAfter, d.AcceptUnconfirmedAfter),
		ConfirmPeers: cmp.Or(t.ConfirmPeers, d.ConfirmPeers), ConfirmDomains: cmp.Or(t.ConfirmDomains, d.ConfirmDomains),
		TransferWait: cmp.Or(t.TransferWait, d.TransferWait), IgnorePeerFor: cmp.Or(t.IgnorePeerFor, d.IgnorePeerFor),
		RetryMin: cmp.Or(t.RetryMin, d.RetryMin), RetryMax: cmp.Or(t.RetryMax, d.RetryMax),
		PauseThreshold:   cmp.Or(t.PauseThreshold, d.PauseThreshold),
		AllProcessesRead: t.AllProcessesRead,
	}
}
