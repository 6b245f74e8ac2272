package membership

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/units"
)

// PathMembers is the HTTP path of a router's members, on the listener of its
// metrics.
const PathMembers = "/members"

// maxSnapshotBytes bounds the response that Fetch reads.
const maxSnapshotBytes = 8 << 20

// Snapshot holds the states of all endpoints at a router at one time.
type Snapshot struct {
	Router string    `json:"router"`
	At     time.Time `json:"at"`
	// ListAge is the time since the platform's list last advanced; nil before the
	// first list.
	ListAge *units.Duration  `json:"list_age,omitempty"`
	Members []SnapshotMember `json:"members"`
}

// SnapshotMember is one endpoint in a Snapshot.
type SnapshotMember struct {
	Endpoint string `json:"endpoint"`
	VM       string `json:"vm"`
	State    State  `json:"state"`
	Reason   Reason `json:"reason"`
	// Age is the time since the state or the reason last changed.
	Age         units.Duration `json:"age"`
	Incarnation string         `json:"incarnation,omitempty"`
}

// Snapshot returns the current states, sorted by endpoint name.
func (t *Tracker) Snapshot(now time.Time) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := Snapshot{Router: t.cfg.Name, At: now, Members: []SnapshotMember{}}
	if age, ok := t.core.ListAge(now); ok {
		d := units.Duration(age)
		snapshot.ListAge = &d
	}
	for _, m := range t.core.Members() {
		snapshot.Members = append(snapshot.Members, SnapshotMember{
			Endpoint: m.Endpoint, VM: m.VM, State: m.State, Reason: m.Reason,
			Age: units.Duration(now.Sub(m.Since)), Incarnation: m.Incarnation,
		})
	}
	return snapshot
}

func (p Snapshot) countState(s State) int {
	n := 0
	for _, m := range p.Members {
		if m.State == s {
			n++
		}
	}
	return n
}

// ServeHTTP responds with the current snapshot as JSON.
func (t *Tracker) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.Snapshot(time.Now())) // fails only if the client has disconnected
}

// Fetch reads a router's snapshot from a URL. Its error is a *FetchError.
func Fetch(ctx context.Context, client *http.Client, url string) (Snapshot, error) {
	snapshot, err := fetchSnapshot(ctx, client, url)
	if err != nil {
		return Snapshot{}, &FetchError{URL: url, Cause: err}
	}
	return snapshot, nil
}

func fetchSnapshot(ctx context.Context, client *http.Client, url string) (Snapshot, error) {
	var snapshot Snapshot
	err := getJSON(ctx, client, url, maxSnapshotBytes, &snapshot)
	if err == nil && snapshot.At.IsZero() {
		err = errors.New("the response is not a list of members")
	}
	return snapshot, err
}

// getJSON decodes the response to a GET request. A response longer than limit bytes
// is cut off and fails to decode.
func getJSON(ctx context.Context, client *http.Client, url string, limit int64, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("response status %s", resp.Status)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(out), "decode response")
}
