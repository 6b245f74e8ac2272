package control_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/memnet"
)

const (
	address    = "10.0.0.1:7430"
	maxMessage = 64 << 10
)

type echoRequest struct {
	Text string `json:"text"`
	Bad  bool   `json:"bad"`
}

func (r echoRequest) Check() error {
	if r.Bad {
		return errors.New("bad is set")
	}
	return nil
}

type echoReply struct {
	Text string        `json:"text"`
	Peer identity.Peer `json:"peer"`
}

var (
	methodEcho         = control.NewMethod[echoRequest, echoReply]("test.echo", identity.RoleRouter, identity.RoleOperator)
	methodHang         = control.NewMethod[echoRequest, echoReply]("test.hang", identity.RoleRouter).WithTimeout(time.Second)
	methodPanic        = control.NewMethod[echoRequest, echoReply]("test.panic", identity.RoleRouter)
	methodGrow         = control.NewMethod[echoRequest, echoReply]("test.grow", identity.RoleRouter)
	methodUnregistered = control.NewMethod[echoRequest, echoReply]("test.gone", identity.RoleRouter)
)

// testEnv is one server on an in-memory network, in the fake time of synctest.
type testEnv struct {
	*gomega.WithT
	t     *testing.T
	ca    *identity.Authority
	net   *memnet.Net
	dials atomic.Int64
}

func withServer(t *testing.T, body func(w *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &testEnv{WithT: gomega.NewWithT(t), t: t, net: memnet.New()}
		ca, err := identity.Ephemeral(identity.WithClock(time.Now))
		w.Expect(err).NotTo(gomega.HaveOccurred())
		w.ca = ca
		defer w.serve()()
		body(w)
	})
}

func (w *testEnv) id(role identity.Role, name string) *identity.Identity {
	id, err := w.ca.Identity(role, name)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	return id
}

func (w *testEnv) serve() (stop func()) {
	l, err := w.net.Listen(address)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	srv := control.NewServer(control.ServerConfig{
		Listener: l, Identity: w.id(identity.RoleAgent, "a1"), MaxMessage: maxMessage,
		Roles: []identity.Role{identity.RoleRouter, identity.RoleOperator},
	})
	control.Register(srv, methodEcho, func(_ context.Context, peer identity.Peer, req echoRequest) (echoReply, error) {
		if req.Text == "refuse" {
			return echoReply{}, errors.Wrap(&control.Error{Code: control.CodeUnavailable, Message: "starting"}, "echo")
		}
		return echoReply{Text: req.Text, Peer: peer}, nil
	})
	control.Register(srv, methodHang, func(ctx context.Context, _ identity.Peer, _ echoRequest) (echoReply, error) {
		<-ctx.Done()
		return echoReply{}, ctx.Err()
	})
	control.Register(srv, methodPanic, func(context.Context, identity.Peer, echoRequest) (echoReply, error) {
		panic("of the test")
	})
	control.Register(srv, methodGrow, func(_ context.Context, _ identity.Peer, req echoRequest) (echoReply, error) {
		return echoReply{Text: strings.Repeat(req.Text, maxMessage)}, nil
	})
	done := make(chan error, 1)
	go func() { done <- srv.Run() }()
	return func() {
		w.Expect(srv.Stop()).To(gomega.Succeed())
		w.Expect(<-done).To(gomega.Succeed())
	}
}

func (w *testEnv) config(role identity.Role, name string) control.ClientConfig {
	dial := w.net.Dialer(name)
	return control.ClientConfig{Identity: w.id(role, name), MaxMessage: maxMessage,
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			w.dials.Add(1)
			return dial(ctx, network, addr)
		}}
}

func target(name string) control.Target {
	return control.Target{Address: address, Peer: identity.Peer{Role: identity.RoleAgent, Name: name}}
}

func (w *testEnv) client(role identity.Role) *control.Client {
	c := control.NewClient(w.config(role, "c1"), target("a1"))
	w.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (w *testEnv) echo(c *control.Client, text string) (echoReply, error) {
	return control.Call(w.t.Context(), c, methodEcho, echoRequest{Text: text})
}

func TestCallCarriesTypesAndPeer(t *testing.T) {
	withServer(t, func(w *testEnv) {
		c := w.client(identity.RoleRouter)
		defer c.Close()
		for _, text := range []string{"short", strings.Repeat("a text that is compressed ", 1000)} {
			reply, err := w.echo(c, text)
			w.Expect(err).NotTo(gomega.HaveOccurred())
			w.Expect(reply).To(gomega.Equal(echoReply{Text: text, Peer: identity.Peer{Role: identity.RoleRouter, Name: "c1"}}))
		}
		w.Expect(w.dials.Load()).To(gomega.BeEquivalentTo(1))
	})
}

func TestRefusals(t *testing.T) {
	withServer(t, func(w *testEnv) {
		router, operator, agent := w.client(identity.RoleRouter), w.client(identity.RoleOperator), w.client(identity.RoleAgent)
		defer router.Close()
		defer operator.Close()
		defer agent.Close()
		call := func(c *control.Client, m control.Method[echoRequest, echoReply], req echoRequest) error {
			_, err := control.Call(w.t.Context(), c, m, req)
			return err
		}
		hasCode := func(code control.Code) gomega.OmegaMatcher {
			return gomega.Satisfy(func(err error) bool { return control.HasCode(err, code) })
		}
		w.Expect(call(operator, methodEcho, echoRequest{})).To(gomega.Succeed())
		w.Expect(call(operator, methodHang, echoRequest{})).To(hasCode(control.CodeForbidden))
		w.Expect(call(agent, methodEcho, echoRequest{})).To(gomega.MatchError(control.ErrOutcomeUnknown), "agents are not allowed to connect")
		w.Expect(call(router, methodUnregistered, echoRequest{})).To(hasCode(control.CodeUnknownMethod))
		w.Expect(call(router, methodEcho, echoRequest{Bad: true})).To(hasCode(control.CodeInvalid))
		w.Expect(call(router, methodEcho, echoRequest{Text: "refuse"})).To(hasCode(control.CodeUnavailable))
		w.Expect(call(router, methodPanic, echoRequest{})).To(hasCode(control.CodeInternal))
		w.Expect(call(router, methodGrow, echoRequest{Text: "x"})).To(hasCode(control.CodeInternal), "the reply is too large")
		w.Expect(call(router, methodEcho, echoRequest{Text: strings.Repeat("x", maxMessage)})).To(gomega.MatchError(control.ErrTooLarge))
		w.Expect(call(router, methodEcho, echoRequest{})).To(gomega.Succeed(), "the connection stays usable after refusals")
	})
}

func TestClientRejectsPeerWithAnotherName(t *testing.T) {
	withServer(t, func(w *testEnv) {
		c := control.NewClient(w.config(identity.RoleRouter, "c1"), target("a2"))
		defer c.Close()
		_, err := w.echo(c, "x")
		w.Expect(err).To(gomega.MatchError(control.ErrUnreachable))
		w.Expect(err).To(gomega.MatchError(identity.ErrWrongName))
	})
}

func TestCallTimesOutAndNextCallSucceeds(t *testing.T) {
	withServer(t, func(w *testEnv) {
		c := w.client(identity.RoleRouter)
		defer c.Close()
		began := time.Now()
		_, err := control.Call(w.t.Context(), c, methodHang, echoRequest{})
		w.Expect(err).To(gomega.HaveOccurred())
		w.Expect(time.Since(began)).To(gomega.Equal(time.Second))
		_, err = w.echo(c, "x")
		w.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

func TestReconnectWithBackoff(t *testing.T) {
	withServer(t, func(w *testEnv) {
		c := w.client(identity.RoleRouter)
		defer c.Close()
		_, err := w.echo(c, "x")
		w.Expect(err).NotTo(gomega.HaveOccurred())
		w.net.Cut("c1", address)
		const calls, every = 1000, 10 * time.Millisecond
		for range calls {
			_, err = w.echo(c, "x")
			w.Expect(err).To(gomega.HaveOccurred())
			time.Sleep(every)
		}
		w.Expect(err).To(gomega.MatchError(control.ErrUnreachable))
		w.Expect(w.dials.Load()).To(gomega.BeNumerically("<", 12), "in 10 s")
		w.Expect(w.dials.Load()).To(gomega.BeNumerically(">", 3))
		w.net.Heal("c1", address)
		time.Sleep(10 * time.Second)
		_, err = w.echo(c, "x")
		w.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

func TestConcurrentCallsPerConnectionAreBounded(t *testing.T) {
	withServer(t, func(w *testEnv) {
		c := w.client(identity.RoleRouter)
		defer c.Close()
		var busy atomic.Int64
		const calls, bound = 100, 64
		for range calls {
			go func() {
				_, err := control.Call(w.t.Context(), c, methodHang, echoRequest{})
				if control.HasCode(err, control.CodeBusy) {
					busy.Add(1)
				}
			}()
		}
		time.Sleep(2 * time.Second)
		w.Expect(busy.Load()).To(gomega.BeEquivalentTo(calls - bound))
	})
}

func TestPoolEvictsLeastRecentlyUsedClient(t *testing.T) {
	withServer(t, func(w *testEnv) {
		p := control.NewPool(w.config(identity.RoleRouter, "c1"), 2)
		defer p.Close()
		first, second := p.Client(target("a1")), p.Client(target("a2"))
		w.Expect(p.Client(target("a1"))).To(gomega.BeIdenticalTo(first))
		p.Client(target("a3"))
		w.Expect(p.Client(target("a1"))).To(gomega.BeIdenticalTo(first))
		w.Expect(p.Client(target("a2"))).NotTo(gomega.BeIdenticalTo(second))
		_, err := w.echo(second, "x")
		w.Expect(err).To(gomega.MatchError(control.ErrClosed))
	})
}
