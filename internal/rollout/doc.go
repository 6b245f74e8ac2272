// Package rollout distributes each accepted bundle to every process within
// seconds, and never goes back to a lower version.
//
// In each failure domain a few processes read the configuration service. They
// are chosen without a quorum: each process ranks the processes that reported
// recently by rendezvous hashing, and the first ones read. Every process keeps
// links to a few partners, some in its own failure domain and some in others.
// Announcements of new versions travel along these links in both directions. A
// process that learns of a higher version fetches the signed manifest and the
// sections that it lacks, verifies them itself, and activates the version as a
// whole by swapping one immutable snapshot.
//
// Core makes the decisions: it is given the time and the peers' reports, and
// does no I/O. Store verifies versions and keeps the active one. Node carries
// out the decisions.
//
// Metrics and messages say "in force" for active; fields of messages that name
// the active version are called Held.
package rollout
