package configsvc

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/standin/web/webtest"
)

// harness is a service with a client for it.
type harness struct {
	*gomega.WithT
	svc    *Service
	client webtest.Client
}

func newHarness(t *testing.T, cfg Config) harness {
	svc := New(cfg)
	return harness{WithT: gomega.NewWithT(t), svc: svc, client: webtest.Serve(t, svc.Handler())}
}

func (h harness) publish(data string) {
	_, err := h.svc.Publish("bundle", []byte(data))
	h.Expect(err).NotTo(gomega.HaveOccurred())
}

func (h harness) get(query string, headers ...string) webtest.Reply {
	reply, err := h.client.Call(http.MethodGet, PathValues+"bundle"+query, "", headers...)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	return reply
}

func TestReadReturnsTheLatestVersionAndItsETag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, Config{})
		h.Expect(h.get("").Status).To(gomega.Equal(http.StatusNotFound))
		h.publish("one")
		h.publish("two")
		reply := h.get("")
		h.Expect(reply.Body).To(gomega.Equal("two"))
		h.Expect(reply.Header.Get(HeaderVersion)).To(gomega.Equal("2"))
		h.Expect(h.get("", "If-None-Match", `"2"`).Status).To(gomega.Equal(http.StatusNotModified))
		h.Expect(h.get("", "If-None-Match", `"1"`).Body).To(gomega.Equal("two"))
		h.Expect(h.get("?wait=x").Status).To(gomega.Equal(http.StatusBadRequest))
		reply, err := h.client.Call(http.MethodPut, PathValues+"bundle", "three")
		h.Expect(err).NotTo(gomega.HaveOccurred())
		h.Expect(reply.Status).To(gomega.Equal(http.StatusMethodNotAllowed))
	})
}

func TestWatchWaitsForALaterVersionAndCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, Config{MaxWait: 10 * time.Second})
		h.publish("one")
		begin := time.Now()
		time.AfterFunc(4*time.Second, func() { h.publish("two") })
		h.Expect(h.get("?wait=1").Body).To(gomega.Equal("two"))
		h.Expect(time.Since(begin)).To(gomega.Equal(4 * time.Second))
		h.Expect(h.svc.Stats()).To(gomega.Equal(Stats{Calls: 1, Watches: 1, Bytes: 3}))
		reply := h.get("?wait=2")
		h.Expect(reply.Status).To(gomega.Equal(http.StatusNotModified))
		h.Expect(reply.Header.Get(HeaderVersion)).To(gomega.Equal("2"))
		h.Expect(time.Since(begin)).To(gomega.Equal(14 * time.Second))
		h.Expect(h.svc.Stats().Waiting).To(gomega.BeZero())
	})
}

func TestCallsBeyondTheRateAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, Config{ReadsPerSecond: 10, Burst: 3})
		h.publish("one")
		for range 3 {
			h.Expect(h.get("").Status).To(gomega.Equal(http.StatusOK))
		}
		h.Expect(h.get("").Status).To(gomega.Equal(http.StatusTooManyRequests))
		h.Expect(h.get("?wait=0").Status).To(gomega.Equal(http.StatusTooManyRequests))
		time.Sleep(100 * time.Millisecond)
		h.Expect(h.get("").Status).To(gomega.Equal(http.StatusOK))
		h.Expect(h.svc.Stats().Calls).To(gomega.Equal(6))
		h.Expect(h.svc.Stats().Limited).To(gomega.Equal(2))
	})
}

func TestPinnedServiceShowsTheOldVersionToReadsAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, Config{})
		h.publish("one")
		h.publish("two")
		h.Expect(h.svc.Pin("bundle", 9)).To(gomega.MatchError(ErrUnknownVersion))
		h.Expect(h.svc.Pin("bundle", 1)).To(gomega.Succeed())
		h.publish("three")
		h.Expect(h.get("").Body).To(gomega.Equal("one"))
		begin := time.Now()
		time.AfterFunc(time.Second, func() { h.svc.Unpin("bundle") })
		h.Expect(h.get("?wait=2").Body).To(gomega.Equal("three"))
		h.Expect(time.Since(begin)).To(gomega.Equal(time.Second))
	})
}

func TestSetDownAbortsReadsAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, Config{})
		h.publish("one")
		time.AfterFunc(time.Second, func() { h.svc.SetDown(true) })
		_, err := h.client.Get(PathValues + "bundle?wait=1")
		h.Expect(err).To(gomega.HaveOccurred())
		_, err = h.client.Get(PathValues + "bundle")
		h.Expect(err).To(gomega.HaveOccurred())
		h.svc.SetDown(false)
		h.Expect(h.get("").Body).To(gomega.Equal("one"))
	})
}

func TestValuesAreBoundedInSizeAndHistory(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(Config{})
	_, err := s.Publish("k", []byte(strings.Repeat("x", ValueLimit+1)))
	g.Expect(err).To(gomega.MatchError(ErrTooLarge))
	for range historyLimit + 5 {
		_, err = s.Publish("k", []byte(strings.Repeat("x", ValueLimit)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(s.values["k"]).To(gomega.HaveLen(historyLimit))
	g.Expect(s.Pin("k", 5)).To(gomega.MatchError(ErrUnknownVersion))
	g.Expect(s.Pin("k", 6)).To(gomega.Succeed())
}
