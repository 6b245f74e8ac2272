package request

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestStepStringShowsExtraConnections(t *testing.T) {
	g := NewWithT(t)
	step := Step{Epoch: 1, Endpoint: "e", Outcome: "complete", Next: "completed", Connections: 1}
	g.Expect(step.String()).To(Equal("attempt 1 at e: complete, 0 tokens held, completed"))
	step.Connections = 3
	g.Expect(step.String()).To(HaveSuffix(", on 3 connections"))
}

func TestStepStringShowsWhichEventsTheAttemptBrought(t *testing.T) {
	g := NewWithT(t)
	step := Step{Epoch: 2, Endpoint: "e", Outcome: "complete", Tokens: 7, Next: "completed", EndsWithConnection: true}
	step.Events = EventRange{After: "4"}
	step.Events.Add("5", "6")
	step.Events.Add("7", "7")
	g.Expect(step.String()).To(Equal("attempt 2 at e: complete, 7 tokens held, completed, after event 4, events 5 to 7, ends with its connection"))
}

func TestStepStringShowsWhenTheAttemptEndedAndThatItWentOnFromACopy(t *testing.T) {
	g := NewWithT(t)
	step := Step{Epoch: 2, Endpoint: "e", Outcome: "complete", Next: "completed", Arrival: ArrivalAnswered}
	step.SentAfter, step.EndedAfter, step.FromCopy = 30*time.Millisecond, 1200*time.Millisecond, true
	g.Expect(step.String()).To(Equal("attempt 2 at e: complete, 0 tokens held, ended after 1.2s, completed, answered, sent after 30ms, from a copy of the run"))
	step.RunEndAfter = 3 * time.Millisecond
	g.Expect(step.String()).To(ContainSubstring("ended after 1.2s (run: not known to have ended within 3ms), completed"))
	step.RunEnd = "answered"
	g.Expect(step.String()).To(ContainSubstring("(run: answered within 3ms)"))
}

func TestStepStringShowsTheConnectionsOfSeveralAttempts(t *testing.T) {
	g := NewWithT(t)
	step := Step{Epoch: 1, Endpoint: "e", Address: "10.0.0.1:80", Outcome: "complete", Next: "completed", ReusedConnection: true}
	g.Expect(step.String()).To(Equal("attempt 1 at e: complete, 0 tokens held, completed"))
	step.Next = NextRepeat
	g.Expect(step.String()).To(HaveSuffix(", to 10.0.0.1:80 on a used connection, repeat"))
	step.Epoch, step.Next, step.ReusedConnection = 2, "completed", false
	g.Expect(step.String()).To(HaveSuffix(", to 10.0.0.1:80, completed"))
}
