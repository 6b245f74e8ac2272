package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/directory"
	"coveferry/internal/follow"
)

// While a VM is suspended timers stand still, but callers and the operator's bounds count that time.
func TestAgeIncludesSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSource()
		var suspended time.Duration
		boot := func() time.Time { return time.Now().Add(suspended) }
		f := follow.New(follow.Config{Source: s, Timing: timing, Log: zerolog.Nop(), Clock: boot, OnDirectory: func(*directory.Directory) {}})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		sleep(300 * time.Millisecond)
		suspended = 8 * time.Second
		g.Expect(ageOf(f)).To(BeNumerically(">", 8*time.Second), "keys must not be trusted after resuming")
		// The first call after resuming returns what was removed meanwhile.
		s.removeEndpoint("b")
		sleep(timing.Wait + timing.Slack)
		g.Expect(ageOf(f)).To(BeNumerically("<", timing.Wait+timing.Slack))
	})
}
