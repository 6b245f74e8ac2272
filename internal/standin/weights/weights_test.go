package weights

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/standin/web/webtest"
)

const size = 10 * chunkBytes

func TestDownloadsShareOneRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := New(Config{Sizes: map[string]int64{"m": size, "n": size}, BytesPerSecond: chunkBytes, RequestBurst: 2})
		c := webtest.Serve(t, s.Handler())
		begin := time.Now()
		replies := make(chan webtest.Reply)
		for _, model := range []string{"m", "n"} {
			go func() {
				reply, err := c.Get(PathWeights + model)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				replies <- reply
			}()
		}
		a, b := <-replies, <-replies
		g.Expect(time.Since(begin).Seconds()).To(gomega.BeNumerically("~", 19, 0.001)) // the first chunk is free
		g.Expect(a.Body).To(gomega.HaveLen(size))
		g.Expect(a.Body == b.Body).To(gomega.BeFalse())
		synctest.Wait() // the store counts a chunk after sending it
		g.Expect(s.Stats()).To(gomega.Equal(Stats{Calls: 2, Bytes: 2 * size, Completed: 2}))
		s.SetBytesPerSecond(1 << 30)
		again, err := c.Get(PathWeights + "m")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again.Body == a.Body || again.Body == b.Body).To(gomega.BeTrue())
		g.Expect(time.Since(begin).Seconds()).To(gomega.BeNumerically("<", 19.1))
	})
}

func TestCallsBeyondTheRateAndForUnknownModelsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := New(Config{RequestsPerSecond: 1})
		c := webtest.Serve(t, s.Handler())
		for _, want := range []int{http.StatusNotFound, http.StatusTooManyRequests} {
			reply, err := c.Get(PathWeights + "x")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(reply.Status).To(gomega.Equal(want))
		}
		g.Expect(s.Stats().Limited).To(gomega.Equal(1))
	})
}

func TestSetDownAbortsDownloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := New(Config{Sizes: map[string]int64{"m": size}, BytesPerSecond: chunkBytes})
		c := webtest.Serve(t, s.Handler())
		time.AfterFunc(3*time.Second+time.Millisecond, func() { s.SetDown(true) })
		reply, err := c.Get(PathWeights + "m")
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(len(reply.Body)).To(gomega.BeNumerically("<=", 4*chunkBytes))
		g.Expect(s.Stats().Completed).To(gomega.BeZero())
	})
}
