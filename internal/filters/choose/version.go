package choose

import (
	"fmt"
	"slices"

	"coveferry/internal/bundle"
	"coveferry/internal/request"
)

// VersionError reports that no endpoint is in service that runs the software version at which a
// stream began.
type VersionError struct {
	Version string
	// Gone says that no endpoint of the version is listed any more, while others of the service are.
	Gone bool
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("no endpoint of version %q, which began the stream, is in service", e.Version)
}

// keepToVersion restricts the candidates to those that can go on with the stream: what two versions
// of the software send doesn't fit together, and endpoints don't check it. Its error is a
// *VersionError.
func (f *Filter) keepToVersion(r *request.Request) error {
	if r.StreamVersion == nil {
		return nil
	}
	listed := len(r.Candidates) > 0
	r.Candidates = slices.DeleteFunc(slices.Clone(r.Candidates), func(e *bundle.Endpoint) bool { return !r.MayContinue(e) })
	if slices.ContainsFunc(r.Candidates, func(e *bundle.Endpoint) bool { return f.pool.InService(e.Name) }) {
		return nil
	}
	return &VersionError{Version: *r.StreamVersion, Gone: listed && len(r.Candidates) == 0}
}
