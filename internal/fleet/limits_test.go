package fleet_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/fleet"
	"coveferry/internal/limits"
	"coveferry/internal/server"
)

// limitedSpec is a fleet of two routers whose team has limits.
func limitedSpec(l bundle.TeamLimits) fleet.Spec {
	s := spec()
	s.Routers = 2
	s.Bundle.Teams[0].Limits = l
	return s
}

// via sends a short request through a router and notes the answer.
func (s *session) via(router int) int {
	client := server.NewClient(nil, s.net.Dialer("caller"))
	defer client.CloseIdleConnections()
	url := s.fleet.Routers()[router].URL() + chatPath
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, url, bytes.NewBufferString(chat(2)))
	s.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set(api.HeaderAuthorization, "Bearer "+key)
	resp, err := client.Do(req)
	s.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.note("router %d: status %d, retry after %q", router, resp.StatusCode, resp.Header.Get(api.HeaderRetryAfter))
	if resp.StatusCode != http.StatusOK {
		s.note("%q", body)
	}
	return resp.StatusCode
}

// A team with one request a second uses it through both routers. Each lets the
// first request of a quiet team in and owes it; the limit then counts for both.
func TestSessionTeamLimitThroughTwoRouters(t *testing.T) {
	runSession(t, limitedSpec(bundle.TeamLimits{RequestsPerSecond: 1}), func(s *session) {
		s.wholeSeconds = true // two routers ask at the same instants
		time.Sleep(2 * time.Second)
		var got []int
		for _, router := range []int{0, 0, 1, 1, 0} {
			got = append(got, s.via(router))
			time.Sleep(90 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		got = append(got, s.via(1))
		s.g.Expect(got).To(Equal([]int{200, 429, 200, 429, 429, 200}))
	})
}

// admitted counts what two routers let in of a demand beyond the limit.
func admitted(t *testing.T, mode limits.Mode, cut bool) int {
	count := 0
	s := limitedSpec(bundle.TeamLimits{RequestsPerSecond: 20})
	s.Profile.TeamLimits = mode
	playSession(t, s, func(s *session) {
		time.Sleep(2 * time.Second)
		if cut {
			s.fleet.CutRouter(0)
		}
		for range 400 {
			for router := range 2 {
				if s.via(router) == http.StatusOK {
					count++
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		s.fleet.Heal()
	})
	return count
}

func TestTeamLimitHoldsAcrossRoutersOfAFleet(t *testing.T) {
	// 400 rounds of two requests, of some 25 ms each when they are let in.
	alone := admitted(t, limits.PerRouter, false)
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("cut ", cut), func(t *testing.T) {
			NewWithT(t).Expect(admitted(t, limits.Shared, cut)).To(BeNumerically("<", alone*7/10))
		})
	}
}
