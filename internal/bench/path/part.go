package path

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/agent"
	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/fleet"
	"coveferry/internal/identity"
	"coveferry/internal/router"
	"coveferry/internal/server"
	"coveferry/internal/standin/engine"
	"coveferry/internal/units"
)

// Roles of the part processes.
const (
	roleEngine = "engine"
	roleAgent  = "agent"
	roleRouter = "router"
)

// partConfig configures a part process.
type partConfig struct {
	Role string `json:"role"`
	// TokenTime is the engine's decode time per token.
	TokenTime units.Duration `json:"token_time"`
	// Next is the upstream: the engine's base URL for an agent, the agent's
	// address for a router.
	Next string `json:"next,omitempty"`
	// The part's identity, as PEM.
	CA   []byte `json:"ca,omitempty"`
	Cert []byte `json:"cert,omitempty"`
	Key  []byte `json:"key,omitempty"`
	// Profile is the path prefix of the files that the part's profiles are
	// written to; empty writes none.
	Profile string `json:"profile,omitempty"`
}

// startReply is a part's answer to its configuration.
type startReply struct {
	Address string `json:"address"`
}

// usageRequest requests a part's Usage.
type usageRequest struct {
	// CollectGarbage requests a garbage collection first, so that Usage includes
	// the live memory.
	CollectGarbage bool `json:"settle"`
}

// ServePart runs one part. It reads its configuration and then requests for its
// Usage as JSON from in, writes the answers to out, and returns at the end of in.
func ServePart(in io.Reader, out io.Writer) error {
	dec, enc := json.NewDecoder(in), json.NewEncoder(out)
	var pc partConfig
	if err := dec.Decode(&pc); err != nil {
		return errors.Wrap(err, "path: decode the part's configuration")
	}
	srv, err := newPart(pc)
	if err != nil {
		return errors.Wrapf(err, "path: start the %s", pc.Role)
	}
	stopProfile, err := startCPUProfile(pc.Profile)
	if err != nil {
		return errors.CombineErrors(err, srv.Kill())
	}
	defer stopProfile()
	served := make(chan error, 1)
	go func() { served <- srv.Run() }()
	err = enc.Encode(startReply{Address: srv.Addr()})
	if err == nil {
		err = serveUsage(dec, enc, pc.Profile)
	}
	return errors.CombineErrors(errors.CombineErrors(err, srv.Kill()), <-served)
}

func serveUsage(dec *json.Decoder, enc *json.Encoder, profile string) error {
	for {
		var a usageRequest
		err := dec.Decode(&a)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "path: decode a usage request")
		}
		if err := enc.Encode(currentUsage(a.CollectGarbage)); err != nil {
			return errors.Wrap(err, "path: write the part's usage")
		}
		if !a.CollectGarbage {
			continue
		}
		if err := writeHeapProfile(profile); err != nil {
			return err
		}
	}
}

func newPart(pc partConfig) (*server.Server, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	cfg := server.Config{
		Listener: l, HeaderTimeout: grace, MaxHeaderBytes: maxHeaderBytes, Grace: grace, Log: zerolog.Nop(),
	}
	switch pc.Role {
	case roleEngine:
		eng := engine.Config{Slots: engineSlots, TokenTime: pc.TokenTime.Std(), Models: []string{model}}
		cfg.Handler = engine.New(eng).Handler()
		return server.New(cfg), nil
	case roleAgent, roleRouter:
		return newTLSPart(pc, cfg)
	default:
		return nil, errors.Newf("unknown part %q", pc.Role)
	}
}

func newTLSPart(pc partConfig, cfg server.Config) (*server.Server, error) {
	id, err := identity.New(pc.CA, pc.Cert, pc.Key)
	if err != nil {
		return nil, err
	}
	if pc.Role == roleAgent {
		cfg.TLS = id.ServerConfig(identity.RoleRouter)
		cfg.Handler = agentHandler(pc.Next)
		return server.New(cfg), nil
	}
	client := server.NewClient(id.ClientConfig(identity.RoleAgent, identity.AnyName), nil)
	cfg.Handler = routerHandler(pc.Next, client)
	return server.New(cfg), nil
}

func agentHandler(engineURL string) http.Handler {
	return agent.New(agent.Config{
		Endpoint: endpoint,
		Engine:   agent.Engine{URL: engineURL, Resume: true},
		Policy:   fleet.Product().Scheduler(engineSlots, testBundle("").Limits),
		MaxBody:  requestBytes,
		Log:      zerolog.Nop(),
	}).Handler()
}

func routerHandler(agentAddress string, client *http.Client) http.Handler {
	profile := fleet.Product()
	b := testBundle(agentAddress)
	return router.New(router.Config{
		Snapshot:     bundle.NewSnapshot(&b),
		Pool:         balance.NewPool(balance.Config{Policy: profile.Balance, Seed: 1}),
		Client:       client,
		Scheme:       "https",
		Retry:        profile.Retry(),
		Throttle:     profile.Throttle,
		BodyTimeout:  grace,
		MaxOpen:      engineSlots,
		MaxBodyBytes: engineSlots * requestBytes,
		Log:          zerolog.Nop(),
	}).Handler()
}
