package vmlist

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/standin/web/webtest"
)

func TestListLagsAndCanBeStaleEmptyOrDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := New(5 * time.Second)
		c := webtest.Serve(t, l.Handler())
		names := func() string {
			reply, err := c.Get(PathVMs)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var got Listing
			g.Expect(json.Unmarshal([]byte(reply.Body), &got)).To(gomega.Succeed())
			g.Expect(got.VMs).NotTo(gomega.BeNil())
			text := ""
			for _, vm := range got.VMs {
				text += vm.Name + ":" + string(vm.State) + " "
			}
			return text
		}
		l.Set(VM{Name: "a", State: Live})
		time.Sleep(5*time.Second - time.Nanosecond)
		g.Expect(names()).To(gomega.BeEmpty())
		time.Sleep(time.Nanosecond)
		g.Expect(names()).To(gomega.Equal("a:live "))

		l.Set(VM{Name: "a", State: Leaving}, VM{Name: "b", State: Live})
		time.Sleep(time.Second)
		l.Set(VM{Name: "b", State: Live})
		g.Expect(names()).To(gomega.Equal("a:live "))
		time.Sleep(4 * time.Second)
		g.Expect(names()).To(gomega.Equal("a:leaving b:live "))
		l.SetStale(true)
		time.Sleep(time.Minute)
		g.Expect(names()).To(gomega.Equal("a:leaving b:live "))
		l.SetEmpty(true)
		g.Expect(names()).To(gomega.BeEmpty())
		l.SetEmpty(false)
		l.SetStale(false)
		g.Expect(names()).To(gomega.Equal("b:live "))

		reads := l.Reads()
		l.SetDown(true)
		_, err := c.Get(PathVMs)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(l.Reads()).To(gomega.Equal(reads))
	})
}

func TestHistoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := New(5 * time.Second)
		for range 1000 {
			l.Set(VM{Name: "a"})
			time.Sleep(time.Second)
		}
		g.Expect(len(l.history)).To(gomega.BeNumerically("<=", 7))
	})
}
