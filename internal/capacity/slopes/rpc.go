package slopes

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"io"
	"net"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/capacity"
	"coveferry/internal/control"
	"coveferry/internal/identity"
)

// endsPerConn is the number of ends of a connection in the measuring process.
const endsPerConn = 2

func rpcProbes() []probe {
	return []probe{
		callProbe("control-small-calls", []int{64, 128, 256, 448}, capacity.SmallRPCBytes, capacity.SmallRPCCPU, "small call"),
		callProbe("control-calls", []int{1024, 4096, 8192, 16384, 32768}, capacity.RPCBytes, capacity.RPCCPU, "compressed call"),
		{
			name:  "control-conns",
			sizes: []int{50, 100, 200, 400},
			series: []capacity.Slope{
				{ID: capacity.ControlConnMemory, Title: "idle connection of the control channel, one side of two", Unit: capacity.UnitBytes, Per: "connection"},
			},
			measure: measureControlConns,
		},
	}
}

// callProbe returns a probe of small or of compressed calls. They need separate
// lines, since the channel compresses payloads from 512 bytes.
func callProbe(name string, sizes []int, bytes, cpu capacity.SlopeID, kind string) probe {
	return probe{
		name:  name,
		sizes: sizes,
		series: []capacity.Slope{
			{ID: bytes, Title: kind + " on the control channel with its reply, in TLS", Unit: capacity.UnitBytes, Per: "byte of payload"},
			{ID: cpu, Title: kind + " on the control channel with its reply, one side of two", Unit: capacity.UnitSeconds, Per: "byte of payload"},
		},
		measure: measureRPC,
	}
}

// payload is the parameter of a call. The reply is empty.
type payload struct {
	Data string `json:"data"`
}

var methodEcho = control.NewMethod[payload, struct{}]("capacity.echo", identity.RoleRouter)

// randomText returns n characters of incompressible text that needs no escaping.
func randomText(n int) string {
	raw := make([]byte, n)
	rand.Read(raw)
	return base64.RawURLEncoding.EncodeToString(raw)[:n]
}

// controlPeers is a server of the control channel with the configuration of its
// clients.
type controlPeers struct {
	server *control.Server
	client control.ClientConfig
	target control.Target
}

func newControlPeers() (*controlPeers, error) {
	ids, err := newIdentities()
	if err != nil {
		return nil, err
	}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &controlPeers{
		server: control.NewServer(control.ServerConfig{
			Listener: l, Identity: ids.agent, Roles: []identity.Role{identity.RoleRouter}, Log: zerolog.Nop(),
		}),
		client: control.ClientConfig{Identity: ids.router, Traffic: &control.Traffic{}, Log: zerolog.Nop()},
		target: control.Target{Address: l.Addr().String(), Peer: identity.Peer{Role: identity.RoleAgent, Name: identity.AnyName}},
	}
	control.Register(p.server, methodEcho, func(context.Context, identity.Peer, payload) (struct{}, error) {
		return struct{}{}, nil
	})
	go p.server.Run() // returns after Stop
	return p, nil
}

// Close stops the server.
func (p *controlPeers) Close() error { return p.server.Stop() }

func (p *controlPeers) bytes() uint64 { return p.client.Traffic.Sent() + p.client.Traffic.Received() }

// measureRPC returns the bytes and the CPU time of a call with an n-byte payload.
func measureRPC(ctx context.Context, n int) ([]float64, error) {
	p, err := newControlPeers()
	if err != nil {
		return nil, err
	}
	defer p.Close()
	client := control.NewClient(p.client, p.target)
	defer client.Close()
	params := payload{Data: randomText(n)}
	call := func() error {
		_, err := control.Call(ctx, client, methodEcho, params)
		return err
	}
	// The first call opens the connection.
	if err := call(); err != nil {
		return nil, err
	}
	before := p.bytes()
	if err := call(); err != nil {
		return nil, err
	}
	bytes := float64(p.bytes() - before)
	cpu, err := cpuPerCall(call)
	return []float64{bytes, cpu / endsPerConn}, err
}

// measureControlConns returns the memory of one end of n idle connections.
func measureControlConns(ctx context.Context, n int) ([]float64, error) {
	var open closers
	memory, err := memoryOf(func() (any, error) {
		var err error
		open, err = openControlConns(ctx, n)
		return open, err
	})
	open.Close()
	return []float64{memory / endsPerConn}, err
}

func openControlConns(ctx context.Context, n int) (closers, error) {
	p, err := newControlPeers()
	if err != nil {
		return nil, err
	}
	open := closers{p}
	for range n {
		client := control.NewClient(p.client, p.target)
		open = append(open, io.Closer(client))
		if _, err := control.Call(ctx, client, methodEcho, payload{}); err != nil {
			return open, err
		}
	}
	return open, nil
}

// wireBytes returns the bytes of a message of several texts on the control
// channel, which compresses it, including the reply.
func wireBytes(ctx context.Context, texts ...[]byte) (float64, error) {
	p, err := newControlPeers()
	if err != nil {
		return 0, err
	}
	defer p.Close()
	client := control.NewClient(p.client, p.target)
	defer client.Close()
	if _, err := control.Call(ctx, client, methodEcho, payload{}); err != nil {
		return 0, err
	}
	before := p.bytes()
	message := payload{Data: string(slices.Concat(texts...))}
	_, err = control.Call(ctx, client, methodEcho, message)
	return float64(p.bytes() - before), err
}

// connPair opens one TCP connection over loopback and returns both ends.
func connPair() (near, far net.Conn, err error) {
	l, err := listen()
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	near, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "dial loopback")
	}
	far, err = l.Accept()
	return near, far, errors.Wrap(err, "accept")
}
