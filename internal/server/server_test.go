package server_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/memnet"
	"coveferry/internal/server"
)

const address = "127.0.0.1:80"

// A client whose response began before the shutdown may reuse the connection after
// it. The server must still answer that request, and announce that the connection
// closes.
func TestStoppingServerServesOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		net := memnet.New()
		l, err := net.Listen(address)
		g.Expect(err).NotTo(HaveOccurred())
		begun := make(chan struct{}, 2)
		srv := server.New(server.Config{
			Listener: l, QuietPeriod: time.Second,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				begun <- struct{}{}
				time.Sleep(5 * time.Second)
			}),
		})
		runErr := make(chan error)
		go func() { runErr <- srv.Run() }()
		client := server.NewClient(nil, net.Dialer("caller"))
		get := func() {
			resp, err := client.Get("http://" + address)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
		}
		start := time.Now()
		stopped := make(chan error)
		go func() {
			<-begun
			stopped <- srv.StopWithin(time.Minute)
		}()
		get()
		g.Expect(<-runErr).To(Succeed())
		_, err = net.Dialer("other")(context.Background(), "tcp", address)
		g.Expect(err).To(MatchError(memnet.ErrRefused))
		get()
		g.Expect(<-stopped).To(Succeed())
		g.Expect(time.Since(start)).To(BeNumerically("~", 11*time.Second, 100*time.Millisecond))
		client.CloseIdleConnections()
	})
}

func TestPlanHandsOverAsLateAsPossible(t *testing.T) {
	for _, c := range []struct{ grace, margin, want time.Duration }{
		{10 * time.Second, 2 * time.Second, 9 * time.Second},
		{10 * time.Second, 25 * time.Second, 6 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			at := make(chan time.Duration, 3)
			start := time.Now()
			record := func() { at <- time.Since(start) }
			p := server.ShutdownPlan{DrainTime: time.Second, Grace: c.grace, HandoverMargin: c.margin}
			g.Expect(p.Run(record, record, func() error {
				record()
				time.Sleep(c.grace)
				return nil
			})).To(Succeed())
			g.Expect([]time.Duration{<-at, <-at, <-at}).To(Equal([]time.Duration{0, time.Second, c.want}))
		})
	}
	synctest.Test(t, func(t *testing.T) { // no handover if all requests end before it
		p := server.ShutdownPlan{Grace: time.Minute, HandoverMargin: time.Second}
		g := NewWithT(t)
		g.Expect(p.Run(func() {}, func() { t.Error("called") }, func() error { return nil })).To(Succeed())
		time.Sleep(time.Hour)
	})
}
