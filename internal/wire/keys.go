package wire

// PathAgree is the path at which an agent answers a once.ListQuery.
const PathAgree = "/v1/keys/agree"

// ReasonNotKeyHome: the agent is not, or no longer, the home of the idempotency key. The other
// reasons about keys are defined in package once.
const ReasonNotKeyHome = "not_key_home"

// EarlierRequest is the request that used an idempotency key before. If Request is empty and
// State is "unknown", an earlier use can't be ruled out.
type EarlierRequest struct {
	Request string `json:"request,omitempty"`
	// State is a once.State.
	State string `json:"state"`
}
