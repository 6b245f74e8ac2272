package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/follow"
	"coveferry/internal/runend"
	"coveferry/internal/upstream"
)

// A service whose slots are all taken answers no health check in time.
func TestPartsOfOtherAnswersShowThatAServiceNoticesTheEndOfAConnection(t *testing.T) {
	ended := time.Now()
	for name, c := range map[string]struct {
		answered bool
		dataAt   time.Time // of another answer; zero for none
		ended    bool
	}{
		"answers the health check":     {answered: true, ended: true},
		"sends parts of other answers": {dataAt: ended.Add(time.Millisecond), ended: true},
		"sent parts before":            {dataAt: ended.Add(-time.Millisecond)},
		"sends nothing":                {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := &directRouter{pool: balance.NewPool(balance.Config{}), follower: follow.New(follow.Config{Log: zerolog.Nop()})}
			d.updater = &directoryUpdater{d: d}
			d.cfg.Health = func(context.Context, *http.Client, string, string, string) (upstream.Health, error) {
				return upstream.Health{Connected: true, Answered: c.answered}, context.DeadlineExceeded
			}
			account := d.pool.Track(ended.Add(-time.Second), "e", balance.Work{})
			if !c.dataAt.IsZero() {
				account.DataReceived(c.dataAt)
			}
			running, err := d.askRunning(context.Background(), runend.Run{Endpoint: &bundle.Endpoint{Name: "e"}, RequestID: "q", ConnectionEnded: ended})
			g.Expect(running).To(BeFalse())
			g.Expect(err == nil).To(Equal(c.ended))
		})
	}
}
