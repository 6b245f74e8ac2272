// Package follow keeps a router's route table and list of endpoints in sync with a read-only
// source, and tracks the age of this state.
package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/directory"
	"coveferry/internal/idle"
	"coveferry/internal/route"
)

// ErrHistoryLost reports that a source can't return the changes since a revision, so that a full
// read is required.
var ErrHistoryLost = errors.New("follow: the source no longer has the changes since this revision")

// errEraChanged reports that the service came back from an older copy between two calls of a read.
var errEraChanged = errors.Wrap(ErrHistoryLost, "the service came back from an older copy during a read")

// ErrUnreadable reports a configuration that can't be decoded. The last one stays in force.
var ErrUnreadable = errors.New("follow: the configuration can't be read")

// Reading is the answer of a source on the configuration and on the list of endpoints. The
// revision of List applies to both.
type Reading struct {
	// Config is nil if it didn't change.
	Config *route.Config
	// Unreadable is why the configuration in the source can't be decoded; List is valid anyway.
	Unreadable error
	List       directory.Reading
	// Age is the maximum age that the data had when it was requested; 0 if the service itself
	// answered.
	Age time.Duration
	// From is the router that answered; empty for the service itself.
	From string
	// SourceUptime is a span over which the routers, taken together, read the service without a
	// long gap; empty if unknown.
	SourceUptime Span
	// ConfigTransferTime is the time from the first byte to the last of the answer that
	// contained the configuration; 0 if there was none, or if unknown.
	ConfigTransferTime time.Duration
}

// Span is a period of a clock that includes the time for which the VM was suspended.
type Span struct{ From, To time.Time }

// covers reports whether the span misses at most maxGap at either end of the given period.
func (s Span) covers(from, to time.Time, maxGap time.Duration) bool {
	return s.From.Sub(from) <= maxGap && to.Sub(s.To) <= maxGap
}

// Source is what a Follower reads.
type Source interface {
	// Read returns everything except a configuration that is already in force. A read that isn't
	// fresh is cheaper; its list may be seconds old, as its revision shows.
	Read(ctx context.Context, fresh bool) (Reading, error)
	// Await waits for a change after the revision, at most for wait, and returns the changes.
	// It returns ErrHistoryLost if the revision is too old, or of an earlier era than the answer
	// and the changes since aren't known.
	Await(ctx context.Context, after directory.Revision, wait time.Duration) (Reading, error)
}

// Store is the API of the service behind all sources. Since long answers take time, each call
// reports received parts to its context to extend the timeout: see idle.MarkActive.
type Store interface {
	// OperatorState reads all that the operator has set. If the error is ErrUnreadable,
	// everything but the configuration is valid.
	OperatorState(ctx context.Context) (OperatorState, error)
	// Page reads the page of the list that follows the given name. A read that isn't fresh is
	// cheaper and may be seconds old.
	Page(ctx context.Context, after string, fresh bool) (Page, error)
	// Await is as in Source.
	Await(ctx context.Context, after directory.Revision, wait time.Duration) (Reading, error)
	// Changes returns at once the changes of the list after the revision. It returns
	// ErrHistoryLost if the revision is too old or of an earlier era.
	Changes(ctx context.Context, after directory.Revision) (directory.Reading, error)
}

// OperatorState is what the operator has set, as of a revision.
type OperatorState struct {
	// Config is the newest configuration.
	Config *route.Config
	// Evacuated lists the evacuated failure domains.
	Evacuated []string
	Revision  directory.Revision
}

func (s *OperatorState) evacuations() directory.Evacuations {
	return directory.Evacuations{Full: true, Active: s.Evacuated}
}

// Page is a page of the list.
type Page struct {
	directory.Reading
	// Next is the name to request the next page with; empty on the last page.
	Next string
}

// Reader reads a store. It implements Source.
type Reader struct {
	Store
	// CallTimeout bounds the time without received data in each call of Read.
	CallTimeout time.Duration
}

// Read implements Source.
func (r Reader) Read(ctx context.Context, fresh bool) (Reading, error) {
	start := time.Now()
	state, err := r.operatorState(ctx)
	if err != nil && !errors.Is(err, ErrUnreadable) {
		return Reading{}, err
	}
	transferTime := time.Since(start) // the call returns without waiting for a change
	// The pages are no snapshot, and the operator state was read at another time: only the
	// lowest of their revisions is certain.
	full := Reading{Config: state.Config, Unreadable: err, ConfigTransferTime: transferTime, List: directory.Reading{
		Full: true, Revision: state.Revision, Evacuations: state.evacuations(),
	}}
	for after, more := "", true; more; more = after != "" {
		page, err := r.page(ctx, after, fresh)
		if err != nil {
			return Reading{}, err
		}
		stale := !fresh && page.Revision.Era < state.Revision.Era
		if page.Revision.Era != state.Revision.Era && !stale {
			return Reading{}, errEraChanged
		}
		full.List.Revision = directory.Earlier(full.List.Revision, page.Revision)
		full.List.Entries = append(full.List.Entries, page.Entries...)
		full.List.Unreadable = append(full.List.Unreadable, page.Unreadable...)
		after = page.Next
	}
	return full, nil
}

// CatchUp returns at once the changes after the revision, as Await does, but only the newest
// version of the configuration. Await returns each missed version in full: after an outage with
// three of 900 KB that took 2.1 s longer over a link of 10 Mbit/s.
func (r Reader) CatchUp(ctx context.Context, after directory.Revision) (Reading, error) {
	changes, err := r.changes(ctx, after)
	if err != nil {
		return Reading{}, err
	}
	start := time.Now()
	state, err := r.operatorState(ctx)
	if err == nil && state.Revision.Era != changes.Revision.Era {
		return Reading{}, errEraChanged
	}
	changes.Evacuations = state.evacuations()
	reading := Reading{Config: state.Config, ConfigTransferTime: time.Since(start), List: changes}
	if errors.Is(err, ErrUnreadable) {
		reading.Unreadable = err
		return reading, nil
	}
	return reading, err
}

func (r Reader) changes(ctx context.Context, after directory.Revision) (directory.Reading, error) {
	ctx, cancel := idle.WithTimeout(ctx, r.CallTimeout, r.CallTimeout)
	defer cancel()
	return r.Store.Changes(ctx, after)
}

func (r Reader) operatorState(ctx context.Context) (OperatorState, error) {
	ctx, cancel := idle.WithTimeout(ctx, r.CallTimeout, r.CallTimeout)
	defer cancel()
	return r.Store.OperatorState(ctx)
}

func (r Reader) page(ctx context.Context, after string, fresh bool) (Page, error) {
	ctx, cancel := idle.WithTimeout(ctx, r.CallTimeout, r.CallTimeout)
	defer cancel()
	return r.Store.Page(ctx, after, fresh)
}
