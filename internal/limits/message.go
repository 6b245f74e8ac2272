package limits

import (
	"math"

	"github.com/cockroachdb/errors"

	"coveferry/internal/credit"
	"coveferry/internal/load"
)

// maxTeams limits the number of teams in a message.
const maxTeams = 10_000

// LeaseRequests is the message of a router to one owner, for all teams at once.
// Without teams it tells the owner that the router no longer uses its limits.
type LeaseRequests struct {
	Teams []TeamRequest `json:"teams,omitempty"`
}

// TeamRequest requests credits and permits for one team. Limits that aren't
// requested are nil.
type TeamRequest struct {
	Team     string         `json:"t"`
	Requests *RateRequest   `json:"r,omitempty"`
	Tokens   *RateRequest   `json:"k,omitempty"`
	Permits  *PermitRequest `json:"p,omitempty"`
}

// RateRequest is the wire format of a credit.LeaseRequest. Want may be shorter
// than the number of tiers.
type RateRequest struct {
	Seq    uint64    `json:"s"`
	Want   []float64 `json:"w,omitempty"`
	Return float64   `json:"b,omitempty"`
}

// PermitRequest is the wire format of a credit.PermitRequest.
type PermitRequest struct {
	Seq     uint64 `json:"s"`
	Quota   int    `json:"q,omitempty"`
	Running int    `json:"n,omitempty"`
	Want    []int  `json:"w,omitempty"`
}

// Grants is the answer to LeaseRequests.
type Grants struct {
	Teams []TeamGrant `json:"teams,omitempty"`
}

// TeamGrant holds the grants for one team. Limits that the owner doesn't know
// are nil.
type TeamGrant struct {
	Team     string       `json:"t"`
	Requests *RateGrant   `json:"r,omitempty"`
	Tokens   *RateGrant   `json:"k,omitempty"`
	Permits  *PermitGrant `json:"p,omitempty"`
}

// RateGrant is the wire format of a credit.Grant.
type RateGrant struct {
	Seq    uint64  `json:"s"`
	Amount float64 `json:"a,omitempty"`
}

// PermitGrant is the wire format of a credit.PermitGrant.
type PermitGrant struct {
	Seq   uint64 `json:"s"`
	Quota int    `json:"q,omitempty"`
}

var errBadRequest = errors.New("limits: an ask's numbers are out of range")

// Check implements control.Checker.
func (r LeaseRequests) Check() error {
	if len(r.Teams) > maxTeams {
		return errors.Newf("limits: %d teams in a message, %d at most", len(r.Teams), maxTeams)
	}
	for _, t := range r.Teams {
		if !t.Requests.valid() || !t.Tokens.valid() || !t.Permits.valid() {
			return errors.Wrapf(errBadRequest, "team %q", t.Team)
		}
	}
	return nil
}

func (r *RateRequest) valid() bool {
	if r == nil {
		return true
	}
	ok := len(r.Want) <= load.MaxTiers && valid(r.Return)
	for _, w := range r.Want {
		ok = ok && valid(w)
	}
	return ok
}

func (r *PermitRequest) valid() bool {
	if r == nil {
		return true
	}
	ok := len(r.Want) <= load.MaxTiers && r.Quota >= 0 && r.Running >= 0
	for _, w := range r.Want {
		ok = ok && w >= 0
	}
	return ok
}

func valid(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }

func newRateRequest(r credit.LeaseRequest) *RateRequest {
	return &RateRequest{Seq: r.Seq, Want: trimZeros(r.Want[:]), Return: r.Return}
}

func (r *RateRequest) toCredit(holder string) credit.LeaseRequest {
	out := credit.LeaseRequest{Holder: holder, Seq: r.Seq, Return: r.Return}
	copy(out.Want[:], r.Want)
	return out
}

func newPermitRequest(r credit.PermitRequest) *PermitRequest {
	return &PermitRequest{Seq: r.Seq, Quota: r.Quota, Running: r.Running, Want: trimZeros(r.Want[:])}
}

func (r *PermitRequest) toCredit(holder string) credit.PermitRequest {
	out := credit.PermitRequest{Holder: holder, Seq: r.Seq, Quota: r.Quota, Running: r.Running}
	copy(out.Want[:], r.Want)
	return out
}

// trimZeros removes trailing zeros, the lowest tiers without demand.
func trimZeros[N int | float64](want []N) []N {
	for len(want) > 0 && want[len(want)-1] == 0 {
		want = want[:len(want)-1]
	}
	return want
}
