package slopes

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http2"

	"coveferry/internal/capacity"
	"coveferry/internal/credit"
	"coveferry/internal/subset"
)

// peerProbes returns the probes of the interactions between processes.
func peerProbes() []probe {
	return []probe{
		{
			name:  "subset",
			sizes: []int{110, 220, 440, 880},
			series: []capacity.Slope{
				{ID: capacity.SubsetCPU, Title: fmt.Sprintf("subset of %d endpoints worked out, %d of them taken", subsetEndpoints, subsetSize), Unit: capacity.UnitSeconds, Per: "router"},
			},
			measure: func(_ context.Context, n int) ([]float64, error) { return measureSubset(n) },
		},
		{
			name:  "credit-home",
			sizes: []int{200, 400, 800, 1600},
			series: []capacity.Slope{
				{ID: capacity.CreditHomeCPU, Title: "one ask for credits answered by its home", Unit: capacity.UnitSeconds, Per: "holder that asks"},
				{ID: capacity.CreditHomeMemory, Title: "home of a limit", Unit: capacity.UnitBytes, Per: "holder that asks"},
			},
			measure: func(_ context.Context, n int) ([]float64, error) { return measureHome(n) },
		},
		{
			name:  "credit-holder",
			sizes: []int{50, 100, 200, 400},
			series: []capacity.Slope{
				{ID: capacity.CreditHolderCPU, Title: "a credit taken and the next ask made", Unit: capacity.UnitSeconds, Per: "limit"},
				{ID: capacity.CreditHolderMemory, Title: "holder of a limit's credits", Unit: capacity.UnitBytes, Per: "limit"},
				{ID: capacity.CreditBytes, Title: "an ask and its grant as JSON", Unit: capacity.UnitBytes, Per: "ask"},
			},
			measure: func(_ context.Context, n int) ([]float64, error) { return measureHolders(n) },
		},
		{
			name:  "ping",
			sizes: []int{200, 400, 800, 1600},
			series: []capacity.Slope{
				{ID: capacity.PingBytes, Title: "ping and its answer on a silent HTTP/2 connection, in TLS", Unit: capacity.UnitBytes, Per: "ping"},
				{ID: capacity.PingCPU, Title: "ping and its answer, one side of two", Unit: capacity.UnitSeconds, Per: "ping"},
			},
			measure: func(_ context.Context, n int) ([]float64, error) { return measurePings(n) },
		},
	}
}

// The endpoints of a model at the design size of 3,700 replicas of 11 models, and
// the size of a subset.
const (
	subsetEndpoints = 336
	subsetSize      = 20
)

// measureSubset returns the CPU time in which one of n routers computes its
// subset.
func measureSubset(n int) ([]float64, error) {
	endpoints := endpointList(subsetEndpoints)
	routers := numberedNames("router", n)
	cpu, err := cpuPerCall(func() error {
		if len(subset.Assign(routers[0], routers, endpoints, subsetSize)) == 0 {
			return errors.New("the subset is empty")
		}
		return nil
	})
	return []float64{cpu}, err
}

func numberedNames(noun string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%04d", noun, i)
	}
	return out
}

// creditConfig is a limit of typical size.
var creditConfig = credit.Config{Rate: 250}

// askStep is short enough for all holders to ask in turn within one period.
const askStep = 100 * time.Microsecond

// measureHome returns the CPU time of one ask (request for credits) and the memory
// of the home, with n holders that ask in turn.
func measureHome(n int) ([]float64, error) {
	holders := numberedNames("router", n)
	ask := func(home *credit.Owner, turn int) {
		home.Grant(issued.Add(time.Duration(turn)*askStep), credit.LeaseRequest{
			Holder: holders[turn%n], Seq: uint64(turn), Want: credit.TierUnits{1, 0.5, 0.25},
		})
	}
	memory, err := memoryOf(func() (any, error) {
		home := credit.NewOwner(issued, creditConfig)
		for turn := range n {
			ask(home, turn)
		}
		return home, nil
	})
	if err != nil {
		return nil, err
	}
	home := credit.NewOwner(issued, creditConfig)
	for turn := range n {
		ask(home, turn)
	}
	turn := n
	cpu, err := cpuPerCall(func() error {
		ask(home, turn)
		turn++
		return nil
	})
	return []float64{cpu, memory}, err
}

// measureHolders returns the CPU time of one period of n holders, their memory,
// and the bytes of their asks and grants.
func measureHolders(n int) ([]float64, error) {
	memory, err := memoryOf(func() (any, error) { return newHolders(n), nil })
	if err != nil {
		return nil, err
	}
	h := newHolders(n)
	bytes := 0
	cpu, err := cpuPerCall(func() error {
		bytes = 0
		return h.runPeriod(func(a credit.LeaseRequest, g credit.Grant) { h.lastAsk, h.lastGrant = a, g; bytes++ })
	})
	if err != nil {
		return nil, err
	}
	size, err := h.encodedSize()
	return []float64{cpu, memory, float64(size * bytes)}, err
}

// holders holds the credit holders of many limits at one router.
type holders struct {
	list      []*credit.Holder
	now       time.Time
	lastAsk   credit.LeaseRequest
	lastGrant credit.Grant
}

func newHolders(n int) *holders {
	h := &holders{now: issued, list: make([]*credit.Holder, n)}
	for i := range h.list {
		h.list[i] = credit.NewHolder("router-0001", subsetEndpoints, creditConfig)
		h.list[i].ApplyGrant(h.now, credit.Grant{})
	}
	return h
}

// holderPeriod is the time between two asks of a holder.
const holderPeriod = 250 * time.Millisecond

// runPeriod lets each holder spend a credit, send an ask and receive a grant.
func (h *holders) runPeriod(asked func(credit.LeaseRequest, credit.Grant)) error {
	h.now = h.now.Add(holderPeriod)
	for _, holder := range h.list {
		holder.TrySpend(h.now, 1, 1)
		a, due := holder.NextRequest(h.now)
		if !due {
			return errors.New("a holder with demand doesn't ask")
		}
		g := credit.Grant{Seq: a.Seq, Amount: 1.5}
		holder.ApplyGrant(h.now, g)
		asked(a, g)
	}
	return nil
}

func (h *holders) encodedSize() (int, error) {
	ask, err := json.Marshal(h.lastAsk)
	if err != nil {
		return 0, errors.Wrap(err, "encode an ask")
	}
	grant, err := json.Marshal(h.lastGrant)
	return len(ask) + len(grant), errors.Wrap(err, "encode a grant")
}

// measurePings returns the bytes and the CPU time of n sequential pings on an idle
// connection.
func measurePings(n int) ([]float64, error) {
	s, err := newConnSetup(true)
	if err != nil {
		return nil, err
	}
	srv, err := s.server()
	if err != nil {
		return nil, err
	}
	defer srv.Kill()
	raw, err := net.Dial("tcp", srv.Addr())
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	defer raw.Close()
	count := &counter{}
	c := tls.Client(&countedConn{Conn: raw, counter: count}, s.ids.client())
	if err := openHTTP2(c); err != nil {
		return nil, err
	}
	framer := http2.NewFramer(c, c)
	if err := ping(framer); err != nil {
		return nil, err
	}
	before := count.bytes.Load()
	cpu, err := cpuOf(func() error {
		return repeat(n, func() error { return ping(framer) })
	})
	return []float64{float64(count.bytes.Load() - before), cpu / endsPerConn}, err
}

// ping sends a ping and reads frames until its acknowledgement.
func ping(framer *http2.Framer) error {
	if err := framer.WritePing(false, [8]byte{}); err != nil {
		return errors.Wrap(err, "write a ping")
	}
	for {
		f, err := framer.ReadFrame()
		if err != nil {
			return errors.Wrap(err, "read a ping's answer")
		}
		if p, ok := f.(*http2.PingFrame); ok && p.IsAck() {
			return nil
		}
	}
}
