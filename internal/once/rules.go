package once

// rule is one of the rules of a KeyRegistry.
type rule uint8

// Rules that tests can disable.
const (
	ruleMemory           rule = iota // a recorded key is not accepted again
	ruleFuture                       // a key issued in the future is not accepted
	ruleAge                          // a key older than Config.Retention is not accepted
	ruleHome                         // only the home accepts a key
	ruleAgreement                    // all peers must agree on the list first
	ruleIssuedAfterClaim             // a key must be issued after the claim
	ruleSettle                       // after a start, wait for agents that may use earlier lists
	rulePause                        // a pause resets all claims
	ruleFence                        // an attempt starts at most once
)
