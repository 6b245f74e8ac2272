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

// peerProbes measure what processes of the system do for each other.
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

// The shape of a model at the size to design for: 3,700 replicas of 11 models.
const (
	subsetEndpoints = 336
	subsetSize      = 20
)

// measureSubset returns the processor time in which one router finds its
// subset among n routers.
func measureSubset(n int) ([]float64, error) {
	endpoints := endpointList(subsetEndpoints)
	routers := names("router", n)
	cpu, err := cpuEach(func() error {
		if len(subset.Assign(routers[0], routers, endpoints, subsetSize)) == 0 {
			return errors.New("the subset is empty")
		}
		return nil
	})
	return []float64{cpu}, err
}

func names(noun string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%04d", noun, i)
	}
	return out
}

// creditConfig is a limit of customary size.
var creditConfig = credit.Config{Rate: 250}

// askStep lets all holders ask in turn within one period.
const askStep = 100 * time.Microsecond

// measureHome returns the processor time of one ask, and the memory of the
// home, with n holders that ask in turn.
func measureHome(n int) ([]float64, error) {
	holders := names("router", n)
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
	cpu, err := cpuEach(func() error {
		ask(home, turn)
		turn++
		return nil
	})
	return []float64{cpu, memory}, err
}

// measureHolders returns the processor time of one period of n holders, their
// memory, and the bytes of their asks and grants.
func measureHolders(n int) ([]float64, error) {
	memory, err := memoryOf(func() (any, error) { return newHolders(n), nil })
	if err != nil {
		return nil, err
	}
	h := newHolders(n)
	bytes := 0
	cpu, err := cpuEach(func() error {
		bytes = 0
		return h.period(func(a credit.LeaseRequest, g credit.Grant) { h.asks, h.grants = a, g; bytes++ })
	})
	if err != nil {
		return nil, err
	}
	size, err := h.encodedSize()
	return []float64{cpu, memory, float64(size * bytes)}, err
}

// holders are those of many limits at one router.
type holders struct {
	list   []*credit.Holder
	now    time.Time
	asks   credit.LeaseRequest // the last
	grants credit.Grant        // the last
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

// period lets each holder spend and ask once, and be granted what it wants.
func (h *holders) period(asked func(credit.LeaseRequest, credit.Grant)) error {
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
	ask, err := json.Marshal(h.asks)
	if err != nil {
		return 0, errors.Wrap(err, "encode an ask")
	}
	grant, err := json.Marshal(h.grants)
	return len(ask) + len(grant), errors.Wrap(err, "encode a grant")
}

// measurePings returns the bytes and the processor time of n pings of a silent
// connection, each answered before the next.
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
	if err := greetHTTP2(c); err != nil {
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
	return []float64{float64(count.bytes.Load() - before), cpu / sides}, err
}

// ping sends a ping and reads up to its answer.
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
