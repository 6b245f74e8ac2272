package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
)

// One engine has to unload its first model. Requests for that model must be served
// all the time, since the agent waits until the other one confirms that it keeps it.
func TestModelStaysServedDuringPlacementChange(t *testing.T) {
	sp := spec()
	sp.Bundle.Models = append(sp.Bundle.Models, bundle.Model{Name: "second"})
	sp.Bundle.Limits.WeightFetchesPerSecond = 10
	sp.Placement = func(i int) bundle.Placement {
		models := []string{"stand-in", "second"}
		return bundle.Placement{Models: models[i:], Role: "decode"}
	}
	runInBubble(t, sp, func(s *session) {
		agents := s.fleet.Agents()
		s.g.Expect(agents[1].Engine.State().Models).To(ContainElement("stand-in"))
		agents[0].Engine.Pause() // the other node can't confirm which models it holds
		time.Sleep(time.Minute)
		s.g.Expect(agents[1].Engine.State().Models).To(ContainElement("stand-in"))
		agents[0].Engine.Resume()
		time.Sleep(time.Minute)
		s.g.Expect(agents[1].Engine.State().Models).To(Equal([]string{"second"}))
		s.g.Expect(agents[0].Engine.State().Models).To(ContainElement("stand-in"))
		s.g.Expect(text(s.uninterrupted(chatPath, chat(6)))).NotTo(BeEmpty())
		s.stop()
	})
}
