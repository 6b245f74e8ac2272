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

// keyedSpec is the usual fleet with two routers.
func keyedSpec() fleet.Spec {
	sp := spec()
	sp.Routers = 2
	return sp
}

// homedAt finds a key that the named engine is the home of, among both.
func (s *session) homedAt(name string) string {
	list := once.ViewOf(s.fleet.Bundle()).Lists[once.ModelTarget("stand-in")]
	for i := 0; ; i++ {
		if id := fmt.Sprint("filing-", i); list.Home("registry", id) == name {
			return id
		}
	}
}

// file sends a filing, which must not run twice, and notes what came of it.
func (s *session) file(router int, id string, issued time.Time) {
	status, body := s.send(router, id, issued)
	s.note("router %d, %s: status %d, %d tokens", router, id, status, bytes.Count(body, []byte(`"content":`)))
	if status != http.StatusOK {
		s.note("%s", body)
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
		s.file(1, "filing", issued)
		s.g.Expect(<-done).To(Equal(http.StatusOK))
		s.file(1, "filing", issued)
		s.file(0, "filing", issued.Add(time.Second))
		s.file(0, "filing", time.Time{})
		time.Sleep(16 * time.Minute) // fake time
		s.file(0, "filing", issued)
		s.g.Expect(s.runs()).To(Equal(1))
	})
}

func TestSessionKeyAfterAgentRestart(t *testing.T) {
	sp := keyedSpec()
	cfg := once.DefaultConfig(once.Member{})
	sp.Keys = &cfg
	runSession(t, sp, func(s *session) {
		time.Sleep(5 * time.Second) // the margin of clocks; all is fake time
		id := s.homedAt("engine-00")
		issued := time.Now()
		s.file(0, id, issued)
		s.g.Expect(s.fleet.RestartAgent(0)).To(Succeed())
		s.file(1, id, issued)
		time.Sleep(cfg.SettleTime + 2*time.Second)
		s.file(1, id, issued)
		s.g.Expect(s.runs()).To(Equal(1))
		time.Sleep(5 * time.Second)
		s.file(1, id+" anew", time.Now())
	})
}

// A router and an agent hold a list without engine-00, the others still the one
// with it.
func TestSessionKeyWithDifferentLists(t *testing.T) {
	sp := keyedSpec()
	cfg := once.DefaultConfig(once.Member{})
	sp.Keys = &cfg
	runSession(t, sp, func(s *session) {
		time.Sleep(5 * time.Second)
		id := s.homedAt("engine-00")
		issued := time.Now()
		later := *s.fleet.Bundle()
		later.Version++
		later.Endpoints = later.Endpoints[1:]
		s.fleet.AdoptAt(1, &later)
		s.fleet.Routers()[1].Router.Swap(bundle.NewSnapshot(&later))
		s.file(1, id, issued)
		s.file(0, id, issued)
		s.file(1, id, issued)
		s.g.Expect(s.runs()).To(Equal(1))
		s.fleet.AdoptAt(0, &later)
		s.file(0, id, issued)
		time.Sleep(2 * time.Second)
		s.file(1, id, issued)
		s.g.Expect(s.runs()).To(Equal(1))
		time.Sleep(5 * time.Second)
		s.file(1, id+" anew", time.Now())
	})
}

// What certainly did not run leaves its key free; what may have run doesn't.
func TestSessionKeyOfWhatDidNotRun(t *testing.T) {
	runSession(t, keyedSpec(), func(s *session) {
		issued := time.Now()
		id := s.homedAt("engine-00")
		home := s.fleet.Agents()[0]
		address := strings.TrimPrefix(home.EngineURL(), "http://")
		s.net.Cut("engine-00", address)
		s.file(0, id, issued)
		s.net.Heal("engine-00", address)
		s.file(1, id, issued)
		s.file(0, id, issued)
		s.g.Expect(s.runs()).To(Equal(1))
		id = s.homedAt("engine-01")
		s.fleet.Agents()[1].Engine.Crash()
		s.file(0, id, issued)
		s.fleet.Agents()[1].Engine.Restart()
		s.file(1, id, issued)
		s.g.Expect(s.runs()).To(Equal(1))
	})
}
