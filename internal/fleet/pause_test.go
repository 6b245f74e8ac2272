package fleet_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/api"
	"coveferry/internal/fleet"
	"coveferry/internal/standin/engine"
)

const pauseDuration = 20 * time.Second

// writeHook is a network that calls a function when a process writes. It simulates a
// process that is paused between creating a message and sending it.
type writeHook struct {
	fleet.Network
	process string
	// onWrite is called once, at the next write of the process.
	onWrite atomic.Pointer[func()]
}

func (n *writeHook) Dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	dial := n.Network.Dialer(from)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil || from != n.process {
			return conn, err
		}
		return &hookedConn{Conn: conn, hook: n}, nil
	}
}

type hookedConn struct {
	net.Conn
	hook *writeHook
}

func (c *hookedConn) Write(b []byte) (int, error) {
	if onWrite := c.hook.onWrite.Swap(nil); onWrite != nil {
		(*onWrite)()
	}
	return c.Conn.Write(b)
}

// suspend advances the processes' clock without firing timers.
func (s *session) suspend(d time.Duration) { s.suspended.Add(int64(d)) }

func deadline(d string) http.Header {
	return http.Header{api.HeaderDeadline: {d}, api.HeaderNonIdempotent: {"true"}}
}

// A router is paused between creating an attempt and sending it, and resumes after
// the deadline: the attempt it then sends must not run.
func TestSessionPausedRouter(t *testing.T) {
	sp := spec()
	hook := &writeHook{process: "router-00"}
	sp.Network = hook
	runSession(t, sp, func(s *session) {
		for range s.fleet.Agents() { // so that the router learns the agents' clocks
			s.callInBackground(nil, 1)
			time.Sleep(time.Second)
		}
		before := s.runs()
		pause := func() { s.suspend(pauseDuration) }
		hook.onWrite.Store(&pause)
		s.call(s.t.Context(), chatPath, chat(6), deadline("10s"), nil)
		s.g.Expect(hook.onWrite.Load()).To(BeNil(), "the pause must have taken place")
		s.g.Expect(s.runs()).To(Equal(before))
	})
}

// An agent is paused while a job waits, and resumes after the job's deadline but
// before the timer has fired: the job must not run.
func TestSessionPausedAgent(t *testing.T) {
	sp := spec()
	one, _ := oneSlotEngines()
	sp.Engines = []engine.Config{one}
	runSession(t, sp, func(s *session) {
		s.callInBackground(nil, 10)
		time.AfterFunc(50*time.Millisecond, func() { s.suspend(pauseDuration) })
		s.call(s.t.Context(), chatPath, chat(6), deadline("10s"), nil)
		s.g.Expect(s.runs()).To(Equal(1))
	})
}

// An agent resumes and a slot becomes free before it has read that the router of
// the waiting job disconnected: the job must not start.
func TestResumedAgentReadsBeforeItStartsJobs(t *testing.T) {
	sp := spec()
	one, _ := oneSlotEngines()
	sp.Engines = []engine.Config{one}
	runInBubble(t, sp, func(s *session) {
		s.callInBackground(nil, 10)
		time.AfterFunc(95*time.Millisecond, func() { s.suspend(2 * time.Second) })
		ctx, cancel := context.WithTimeout(s.t.Context(), 120*time.Millisecond)
		defer cancel()
		s.call(ctx, chatPath, chat(6), nil, nil)
		synctest.Wait()
		s.g.Expect(s.runs()).To(Equal(1))
	})
}
