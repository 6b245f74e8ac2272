package rollout

import (
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/age"
	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/identity"
)

// Limits of a message.
const (
	maxIDLength    = 96
	maxPeerReports = 64
	maxWait        = 30 * time.Second
	// maxSections limits the sections of one message or request.
	maxSections = 4096
	// inlineBytes limits the sections sent along with a manifest; the receiver
	// requests the rest.
	inlineBytes = 1 << 20
)

// ErrBadMessage marks an invalid message of a peer.
var ErrBadMessage = errors.New("rollout: bad message")

// Summary identifies the active version of a process. The zero Summary means
// none.
type Summary struct {
	Version uint64        `json:"v"`
	Digest  bundle.Digest `json:"d"` // of the content
}

// digestPrefixLength counts characters of the printed digest.
const digestPrefixLength = 8

// DigestPrefix returns the start of the digest; it is empty for the zero
// Summary.
func (s Summary) DigestPrefix() string {
	if s.Version == 0 {
		return ""
	}
	return s.Digest.String()[:digestPrefixLength]
}

// State says whether a process is ready and whether peers have confirmed its
// version.
type State string

const (
	// StateStarting: the process isn't ready yet.
	StateStarting State = "starting"
	// StateUnconfirmed: the process serves, but too few peers have confirmed
	// that there is no higher version.
	StateUnconfirmed State = "unconfirmed"
	// StateConfirmed: enough peers have confirmed it. It is sent as "settled".
	StateConfirmed State = "settled"
)

func (s State) valid() bool {
	return s == StateStarting || s == StateUnconfirmed || s == StateConfirmed
}

// PeerReport is the last known report of a process about itself.
type PeerReport struct {
	ID      ID     `json:"id"`
	Version uint64 `json:"v"`
	// DigestPrefix is the start of the content's digest, enough to tell
	// contents apart.
	DigestPrefix string `json:"m,omitempty"`
	State        State  `json:"st"`
	// ServiceUnusable says that the process reads the configuration service and
	// gets no answer or an outdated one.
	ServiceUnusable bool `json:"ns,omitempty"`
	// NoServiceConfigured says that the process never reads the service, as its
	// settings name none.
	NoServiceConfigured bool `json:"b,omitempty"`
	// AgeMillis is the time since the process made the report, in milliseconds.
	// Ages are sent instead of timestamps because the clocks of VMs differ.
	AgeMillis int64 `json:"age,omitempty"`
}

func (r PeerReport) check() error {
	if r.ID == "" || len(r.ID) > maxIDLength || len(r.DigestPrefix) > digestPrefixLength || !r.State.valid() || !age.FromMillis(r.AgeMillis).Known() {
		return errors.Wrap(ErrBadMessage, "sighting")
	}
	return nil
}

// Exchange sends a partner the caller's active version and peer reports, and
// asks for the partner's.
type Exchange struct {
	Held   Summary      `json:"held"`
	From   PeerReport   `json:"from"`
	Others []PeerReport `json:"others,omitempty"`
	// WaitMillis is how long the partner may wait for a higher version before
	// it replies, in milliseconds.
	WaitMillis int64 `json:"wait,omitempty"`
}

// Check implements control.Checker.
func (e Exchange) Check() error {
	if e.WaitMillis < 0 || e.WaitMillis > maxWait.Milliseconds() {
		return errors.Wrap(ErrBadMessage, "wait")
	}
	return checkReports(e.From, e.Others)
}

func checkReports(from PeerReport, others []PeerReport) error {
	if len(others) > maxPeerReports {
		return errors.Wrapf(ErrBadMessage, "%d sightings", len(others))
	}
	for _, r := range others {
		if err := r.check(); err != nil {
			return err
		}
	}
	return from.check()
}

// ExchangeReply is the reply to an Exchange.
type ExchangeReply struct {
	Held   Summary      `json:"held"`
	From   PeerReport   `json:"from"`
	Others []PeerReport `json:"others,omitempty"`
}

// Check says whether the reply is valid.
func (r ExchangeReply) Check() error { return checkReports(r.From, r.Others) }

// Offer announces a newly activated version to a partner.
type Offer struct {
	Summary Summary `json:"s"`
}

// OfferReply says whether the partner wants the version, and which one it has.
type OfferReply struct {
	Want bool    `json:"want"`
	Held Summary `json:"held"`
}

// FetchRequest asks for the active version.
type FetchRequest struct {
	Held Summary `json:"held"` // active at the caller
}

// Update is a version with the signature that proves it. Exactly one of
// Manifest and Whole is set.
type Update struct {
	// Summary is the sender's claim; it is verified against the rest.
	Summary  Summary       `json:"s"`
	Manifest *ManifestText `json:"manifest,omitempty"`
	Whole    *BundleFile   `json:"whole,omitempty"`
	// Sections holds sections that the receiver probably lacks.
	Sections []string `json:"sections,omitempty"`
}

// Check implements control.Checker.
func (u Update) Check() error {
	if (u.Manifest == nil) == (u.Whole == nil) {
		return errors.Wrap(ErrBadMessage, "an update is a manifest or a whole file")
	}
	if len(u.Sections) > maxSections {
		return errors.Wrapf(ErrBadMessage, "%d sections", len(u.Sections))
	}
	return nil
}

// ManifestText is a signed manifest, in full or as a delta.
type ManifestText struct {
	Text string `json:"text,omitempty"`
	// Delta, if set, replaces Text. It is the text compressed with the manifest
	// Base as the dictionary.
	Delta     []byte        `json:"delta,omitempty"`
	Base      bundle.Digest `json:"base,omitzero"`
	Signature string        `json:"signature"`
}

// BundleFile is a signed bundle file.
type BundleFile struct {
	Source    string `json:"source"`
	Signature string `json:"signature"`
}

// DeliverReply holds the receiver's active version after an Update.
type DeliverReply struct {
	Held Summary `json:"held"`
}

// SectionsRequest asks for sections.
type SectionsRequest struct {
	Digests []bundle.Digest `json:"digests"`
}

// Check implements control.Checker.
func (r SectionsRequest) Check() error {
	if len(r.Digests) == 0 || len(r.Digests) > maxSections {
		return errors.Wrapf(ErrBadMessage, "%d digests", len(r.Digests))
	}
	return nil
}

// SectionsReply holds some of the requested sections, at least one unless the
// peer has none of them.
type SectionsReply struct {
	Sections []string `json:"sections"`
}

// fetchTimeout limits a call that transfers a bundle.
const fetchTimeout = 10 * time.Second

// The methods of the control channel.
var (
	methodExchange = control.NewMethod[Exchange, ExchangeReply]("bundle.exchange", identity.RoleRouter, identity.RoleAgent).
			WithTimeout(exchangeTimeout)
	methodOffer   = control.NewMethod[Offer, OfferReply]("bundle.offer", identity.RoleRouter, identity.RoleAgent)
	methodDeliver = control.NewMethod[Update, DeliverReply]("bundle.deliver", identity.RoleRouter, identity.RoleAgent).
			WithTimeout(fetchTimeout)
	methodFetch = control.NewMethod[FetchRequest, Update]("bundle.fetch", identity.RoleRouter, identity.RoleAgent).
			WithTimeout(fetchTimeout)
	methodSections = control.NewMethod[SectionsRequest, SectionsReply]("bundle.sections", identity.RoleRouter, identity.RoleAgent).
			WithTimeout(fetchTimeout)
	// MethodStatus is the method that operators call.
	MethodStatus = control.NewMethod[StatusRequest, Status]("bundle.status", identity.RoleOperator, identity.RoleRouter, identity.RoleAgent)
)

// exchangeTimeout covers the wait of an exchange and sending both messages.
const exchangeTimeout = 5 * time.Second
