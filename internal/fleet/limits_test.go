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

// limitedSpec returns a fleet of two routers whose team has the given limits.
func limitedSpec(l bundle.TeamLimits) fleet.Spec {
	s := spec()
	s.Routers = 2
	s.Bundle.Teams[0].Limits = l
	return s
}

// sendThrough sends a short request through a router and records the answer.
func (s *session) sendThrough(router int) int {
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
	s.record("router %d: status %d, retry after %q", router, resp.StatusCode, resp.Header.Get(api.HeaderRetryAfter))
	if resp.StatusCode != http.StatusOK {
		s.record("%q", body)
	}
	return resp.StatusCode
}

// A team with a limit of one request per second sends through both routers. Each
// router admits the first request of an idle team on credit; after that the limit
// applies to both together.
func TestSessionTeamLimitThroughTwoRouters(t *testing.T) {
	runSession(t, limitedSpec(bundle.TeamLimits{RequestsPerSecond: 1}), func(s *session) {
		s.ignoreMillis = true // two routers send requests at the same time
		time.Sleep(2 * time.Second)
		var got []int
		for _, router := range []int{0, 0, 1, 1, 0} {
			got = append(got, s.sendThrough(router))
			time.Sleep(90 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		got = append(got, s.sendThrough(1))
		s.g.Expect(got).To(Equal([]int{200, 429, 200, 429, 429, 200}))
	})
}

// countAdmitted returns the number of requests that two routers admit if the demand
// exceeds the limit.
func countAdmitted(t *testing.T, mode limits.Mode, cut bool) int {
	count := 0
	s := limitedSpec(bundle.TeamLimits{RequestsPerSecond: 20})
	s.Profile.TeamLimits = mode
	runInBubble(t, s, func(s *session) {
		time.Sleep(2 * time.Second)
		if cut {
			s.fleet.PartitionRouter(0)
		}
		for range 400 {
			for router := range 2 {
				if s.sendThrough(router) == http.StatusOK {
					count++
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		s.fleet.Heal()
	})
	return count
}

func TestTeamLimitHoldsAcrossRouters(t *testing.T) {
	// 400 rounds of two requests, which take some 25 ms each if admitted.
	alone := countAdmitted(t, limits.PerRouter, false)
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("cut ", cut), func(t *testing.T) {
			NewWithT(t).Expect(countAdmitted(t, limits.Shared, cut)).To(BeNumerically("<", alone*7/10))
		})
	}
}
