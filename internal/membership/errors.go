package membership

import "fmt"

// FetchError reports that a router's members could not be fetched.
type FetchError struct {
	URL   string
	Cause error
}

// Error describes the failure.
func (e *FetchError) Error() string { return fmt.Sprintf("members at %s: %v", e.URL, e.Cause) }

// Unwrap returns the cause.
func (e *FetchError) Unwrap() error { return e.Cause }

// ListError reports that the platform's list could not be read or is invalid. The
// last valid list stays in use.
type ListError struct {
	URL   string
	Cause error
}

// Error describes the failure.
func (e *ListError) Error() string { return fmt.Sprintf("list of VMs at %s: %v", e.URL, e.Cause) }

// Unwrap returns the cause.
func (e *ListError) Unwrap() error { return e.Cause }

// ProbeError reports that a probe received no valid status from the endpoint.
type ProbeError struct {
	Endpoint string
	// Connected reports whether a connection was established.
	Connected bool
	Cause     error
}

// Error describes the failure.
func (e *ProbeError) Error() string {
	return fmt.Sprintf("probe of %s (connected: %t): %v", e.Endpoint, e.Connected, e.Cause)
}

// Unwrap returns the cause.
func (e *ProbeError) Unwrap() error { return e.Cause }
