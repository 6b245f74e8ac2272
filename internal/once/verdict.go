package once

import "time"

// Reason is why a key was refused.
type Reason string

// Reasons to refuse a key. After any of them the attempt must not run.
const (
	// ReasonDuplicate: another request has used the key.
	ReasonDuplicate Reason = "duplicate_key"
	// ReasonFenced: this attempt, or a later one of the request, was already recorded.
	ReasonFenced Reason = "attempt_fenced"
	// ReasonTimeChanged: the key was used with a different issue time.
	ReasonTimeChanged Reason = "key_time_changed"
	// ReasonFuture: the issue time is further in the future than clock skew allows.
	ReasonFuture Reason = "key_from_future"
	// ReasonExpired: the key is older than Config.Retention.
	ReasonExpired Reason = "key_expired"
	// ReasonNotKeyHome: by this agent's list another endpoint is the key's home.
	ReasonNotKeyHome Reason = "not_key_home"
	// ReasonHandover: other agents may still act as the key's home.
	ReasonHandover Reason = "key_home_changing"
	// ReasonBeforeClaim: the key was issued before this agent claimed to be its home.
	ReasonBeforeClaim Reason = "key_before_memory"
	// ReasonFull: the agent has reached Config.MaxKeys.
	ReasonFull Reason = "key_memory_full"
)

// State is the state of the request that uses a key.
type State string

// States of a key's request.
const (
	StateQueued   State = "queued"
	StateRunning  State = "running"
	StateComplete State = "complete"
	// StateBroken: it started but failed before it completed.
	StateBroken State = "broken"
	// StateUnknown: it may have run.
	StateUnknown State = "unknown"
	// StateNotRun: it didn't run, so the key may be used again.
	StateNotRun State = "not_run"
)

// Attempt is one attempt of a request that uses a key.
type Attempt struct {
	// Target is the model or service, as in View.Lists.
	Target  string
	Team    string
	Key     Key
	Request string
	// Epoch numbers the request's attempts from 1.
	Epoch int
}

// EarlierRequest is the request that used a key before.
type EarlierRequest struct {
	Request string
	State   State
}

// Decision is the result of KeyRegistry.Admit.
type Decision struct {
	// Refused is empty if the attempt may be queued.
	Refused Reason
	// RetryAfter is how long to wait before a retry of the same request; 0 if a retry doesn't
	// help.
	RetryAfter time.Duration
	// Earlier is the request that used the key, for ReasonDuplicate and ReasonTimeChanged.
	// StateUnknown without a request means that an earlier use can't be ruled out.
	Earlier EarlierRequest
}
