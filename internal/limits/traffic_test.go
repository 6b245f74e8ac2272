package limits

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/bundle"
)

// Requests for all limits of all teams with the same owner share one message.
func TestRequestsToOneOwnerShareAMessage(t *testing.T) {
	const teams = 50
	allLimits := bundle.TeamLimits{RequestsPerSecond: 1000, TokensPerSecond: 1000, Concurrency: 100}
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := &bundle.Bundle{Routers: []bundle.Router{{Name: "home"}, {Name: "other"}}}
		for i := range teams {
			b.Teams = append(b.Teams, bundle.Team{Name: fmt.Sprint("team-", i), Limits: allLimits})
		}
		l := New(Config{Name: "other", Sender: NewSender(nil)})
		l.Follow(b)
		for i := range b.Teams {
			_, err := l.Admit(time.Now(), &b.Teams[i], 0)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		batches := l.collect(time.Now(), l.topology.Load(), dueAll)
		g.Expect(batches).To(gomega.HaveLen(2))
		g.Expect(len(batches["home"].Teams) + len(batches["other"].Teams)).To(gomega.Equal(teams))
		for _, a := range batches["home"].Teams {
			g.Expect(a.Requests).NotTo(gomega.BeNil())
			g.Expect(a.Permits).NotTo(gomega.BeNil())
		}
		g.Expect(batches["home"].Check()).To(gomega.Succeed())
	})
}

func TestOutOfRangeRequestIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, a := range []TeamRequest{
		{Requests: &RateRequest{Want: []float64{-1}}},
		{Tokens: &RateRequest{Return: -1}},
		{Tokens: &RateRequest{Want: make([]float64, 9)}},
		{Permits: &PermitRequest{Running: -1}},
		{Permits: &PermitRequest{Want: []int{-1}}},
	} {
		g.Expect(LeaseRequests{Teams: []TeamRequest{a}}.Check()).To(gomega.MatchError(errBadRequest))
	}
}
