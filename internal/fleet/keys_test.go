package fleet_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/fleet"
	"coveferry/internal/once"
	"coveferry/internal/server"
)

// keyedSpec returns the default fleet with two routers.
func keyedSpec() fleet.Spec {
	sp := spec()
	sp.Routers = 2
	return sp
}

// keyWithHome returns an idempotency key whose home is the named engine.
func (s *session) keyWithHome(name string) string {
	list := once.ViewOf(s.fleet.Bundle()).Lists[once.ModelTarget("stand-in")]
	for i := 0; ; i++ {
		if id := fmt.Sprint("filing-", i); list.Home("registry", id) == name {
			return id
		}
	}
}

// sendAndRecord sends a non-idempotent request with a key and records its result.
func (s *session) sendAndRecord(router int, id string, issued time.Time) {
	status, body := s.send(router, id, issued)
	s.record("router %d, %s: status %d, %d tokens", router, id, status, bytes.Count(body, []byte(`"content":`)))
	if status != http.StatusOK {
		s.record("%s", body)
	}
}

func (s *session) send(router int, id string, issued time.Time) (int, []byte) {
	client := server.NewClient(nil, s.net.Dialer("caller"))
	defer client.CloseIdleConnections()
	url := s.fleet.Routers()[router].URL() + chatPath
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, url, bytes.NewBufferString(chat(6)))
	s.g.Expect(err).NotTo(HaveOccurred())
	req.Header = nonIdempotent()
	req.Header.Set(api.HeaderAuthorization, "Bearer "+key)
	req.Header.Set(api.HeaderIdempotencyKey, id)
	if !issued.IsZero() {
		req.Header.Set(api.HeaderKeyTime, issued.Format(time.RFC3339Nano))
	}
	resp, err := client.Do(req)
	s.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.g.Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, body
}

func TestSessionKeyTwiceAtOnceAndLater(t *testing.T) {
	runSession(t, keyedSpec(), func(s *session) {
		issued := time.Now()
		done := make(chan int)
		go func() {
			status, _ := s.send(0, "filing", issued)
			done <- status
		}()
		synctest.Wait()
		s.sendAndRecord(1, "filing", issued)
		s.g.Expect(<-done).To(Equal(http.StatusOK))
		s.sendAndRecord(1, "filing", issued)
		s.sendAndRecord(0, "filing", issued.Add(time.Second))
		s.sendAndRecord(0, "filing", time.Time{})
		time.Sleep(16 * time.Minute) // fake time
		s.sendAndRecord(0, "filing", issued)
		s.g.Expect(s.runs()).To(Equal(1))
	})
}

func TestSessionKeyAfterAgentRestart(t *testing.T) {
	sp := keyedSpec()
	cfg := once.DefaultConfig(once.Member{})
	sp.Keys = &cfg
	runSession(t, sp, func(s *session) {
		time.Sleep(5 * time.Second) // the clock skew allowed; fake time
		id := s.keyWithHome("engine-00")
		issued := time.Now()
		s.sendAndRecord(0, id, issued)
		s.g.Expect(s.fleet.RestartAgent(0)).To(Succeed())
		s.sendAndRecord(1, id, issued)
		time.Sleep(cfg.SettleTime + 2*time.Second)
		s.sendAndRecord(1, id, issued)
		s.g.Expect(s.runs()).To(Equal(1))
		time.Sleep(5 * time.Second)
		s.sendAndRecord(1, id+" anew", time.Now())
	})
}

// One router and one agent hold a list without engine-00, while the others still hold
// the list that includes it.
func TestSessionKeyWithDifferentLists(t *testing.T) {
	sp := keyedSpec()
	cfg := once.DefaultConfig(once.Member{})
	sp.Keys = &cfg
	runSession(t, sp, func(s *session) {
		time.Sleep(5 * time.Second)
		id := s.keyWithHome("engine-00")
		issued := time.Now()
		later := *s.fleet.Bundle()
		later.Version++
		later.Endpoints = later.Endpoints[1:]
		s.fleet.AdoptAt(1, &later)
		s.fleet.Routers()[1].Router.Swap(bundle.NewSnapshot(&later))
		s.sendAndRecord(1, id, issued)
		s.sendAndRecord(0, id, issued)
		s.sendAndRecord(1, id, issued)
		s.g.Expect(s.runs()).To(Equal(1))
		s.fleet.AdoptAt(0, &later)
		s.sendAndRecord(0, id, issued)
		time.Sleep(2 * time.Second)
		s.sendAndRecord(1, id, issued)
		s.g.Expect(s.runs()).To(Equal(1))
		time.Sleep(5 * time.Second)
		s.sendAndRecord(1, id+" anew", time.Now())
	})
}

// The key of a request that certainly didn't run can be used again; that of a request
// that may have run can't.
func TestSessionKeyOfWhatDidNotRun(t *testing.T) {
	runSession(t, keyedSpec(), func(s *session) {
		issued := time.Now()
		id := s.keyWithHome("engine-00")
		home := s.fleet.Agents()[0]
		address := strings.TrimPrefix(home.EngineURL(), "http://")
		s.net.Cut("engine-00", address)
		s.sendAndRecord(0, id, issued)
		s.net.Heal("engine-00", address)
		s.sendAndRecord(1, id, issued)
		s.sendAndRecord(0, id, issued)
		s.g.Expect(s.runs()).To(Equal(1))
		id = s.keyWithHome("engine-01")
		s.fleet.Agents()[1].Engine.Crash()
		s.sendAndRecord(0, id, issued)
		s.fleet.Agents()[1].Engine.Restart()
		s.sendAndRecord(1, id, issued)
		s.g.Expect(s.runs()).To(Equal(1))
	})
}
