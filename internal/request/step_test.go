package request

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestStepStringShowsExtraConnections(t *testing.T) {
	g := NewWithT(t)
	step := Step{Epoch: 1, Endpoint: "e", Outcome: "complete", Next: "completed", Connections: 1}
	g.Expect(step.String()).To(Equal("attempt 1 at e: complete, 0 tokens held, completed"))
	step.Connections = 3
	g.Expect(step.String()).To(HaveSuffix(", on 3 connections"))
}
