// Package follow keeps a router's route table and list of endpoints up to date
// from a service that can only be read, and says how old what it knows is.
package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/directory"
	"coveferry/internal/route"
)

// ErrHistoryLost says that a source can't tell what changed since a revision.
// The whole has to be read again.
var ErrHistoryLost = errors.New("follow: the source no longer holds this history")

// Reading is what a source says of the configuration.
type Reading struct {
	// Config is nil if it didn't change.
	Config *route.Config
	// Revision is the source's counter of changes when it answered.
	Revision uint64
	// Age is how old the reading may have been when it was asked for; 0 if the
	// source itself answered.
	Age time.Duration
}

// Source is the service that is read.
type Source interface {
	// Config reads the newest configuration.
	Config(ctx context.Context) (Reading, error)
	// AwaitConfig waits for a change after the revision, at most for wait. Its
	// error is ErrHistoryLost if the revision is too old.
	AwaitConfig(ctx context.Context, after uint64, wait time.Duration) (Reading, error)
	// Endpoints reads the whole list. One that needn't be fresh costs less and
	// may be seconds old.
	Endpoints(ctx context.Context, fresh bool) (directory.Reading, error)
}
