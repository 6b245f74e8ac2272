package runend

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"coveferry/internal/bundle"
	"coveferry/internal/server"
)

// reply is what an endpoint does with one question.
type reply struct {
	running bool
	err     error
	silent  bool // the question isn't answered
}

// waitFor asks an endpoint that replies in turn, the last reply over and over, for up to a minute.
func waitFor(replies ...reply) (evidence Evidence, took time.Duration, asked int, err error) {
	ask := func(ctx context.Context, _ Run) (bool, error) {
		r := replies[min(asked, len(replies)-1)]
		asked++
		if r.silent {
			<-ctx.Done()
			return false, ctx.Err()
		}
		return r.running, r.err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	began := time.Now()
	evidence, err = New(ask, nil).Wait(ctx, &bundle.Endpoint{}, "q")
	return evidence, time.Since(began), asked, err
}

func dialError(cause error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: cause} }

func TestEndOfARunIsKnownByWhatItsEndpointAnswers(t *testing.T) {
	silent := reply{silent: true}
	for name, c := range map[string]struct {
		replies []reply
		want    Evidence
		within  time.Duration
	}{
		"answers":                         {[]reply{{}}, EvidenceAnswered, 0},
		"runs it, then doesn't":           {[]reply{{running: true}, {running: true}, {}}, EvidenceAnswered, 2 * askInterval},
		"stands still, then answers":      {[]reply{silent, silent, {}, {}}, EvidenceAnswered, 2*(askInterval+answerTimeout) + askInterval},
		"answers with a malformed head":   {[]reply{{err: &server.MalformedHeadError{}}}, EvidenceAnswered, 0},
		"stands still, answers malformed": {[]reply{silent, {err: &server.MalformedHeadError{}}, {}}, EvidenceAnswered, 2*askInterval + answerTimeout},
		"stands still, then begins it":    {[]reply{silent, {}, {running: true}, {}}, EvidenceAnswered, 3*askInterval + answerTimeout},
		"stands still, then has ended":    {[]reply{silent, {err: dialError(syscall.ECONNREFUSED)}}, EvidenceGone, askInterval + answerTimeout},
		"refuses connections":             {[]reply{{err: dialError(syscall.ECONNREFUSED)}}, EvidenceGone, 0},
		"resets connections":              {[]reply{{err: &net.OpError{Op: "read", Err: syscall.ECONNRESET}}}, EvidenceGone, 0},
		"ends connections":                {[]reply{{err: io.EOF}}, EvidenceGone, 0},
		"can't be connected to in time":   {[]reply{{err: dialError(os.ErrDeadlineExceeded)}}, EvidenceUnreachable, 0},
		"has no route to it":              {[]reply{{err: dialError(syscall.EHOSTUNREACH)}}, EvidenceUnreachable, 0},
		"must not be contacted":           {[]reply{{err: ErrNotAsked}}, EvidenceNotAsked, 0},
		"runs it, then can't be reached":  {[]reply{{running: true}, {err: dialError(os.ErrDeadlineExceeded)}}, EvidenceUnreachable, askInterval},
		"runs it, then must not be asked": {[]reply{{running: true}, {err: ErrNotAsked}}, EvidenceNotAsked, askInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				evidence, took, _, err := waitFor(c.replies...)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(evidence).To(Equal(c.want))
				g.Expect(took).To(Equal(c.within))
			})
		})
	}
}

func TestARunThatDoesNotEndIsWaitedForUntilTheContextEnds(t *testing.T) {
	for name, r := range map[string]reply{"runs": {running: true}, "stands still": {silent: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				evidence, took, asked, err := waitFor(r)
				g.Expect(evidence).To(BeEmpty())
				g.Expect(err).To(MatchError(context.DeadlineExceeded))
				g.Expect(took).To(Equal(time.Minute))
				g.Expect(asked).To(BeNumerically("<=", 1+int(time.Minute/askInterval)))
			})
		})
	}
}

func TestReachTellsAProcessThatIsGoneFromOneThatStandsStill(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts, and never answers
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Reach(context.Background(), l.Addr().String())).To(BeEmpty())
	g.Expect(l.Close()).To(Succeed())
	g.Expect(Reach(context.Background(), l.Addr().String())).To(Equal(EvidenceGone))
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(Reach(canceled, l.Addr().String())).To(BeEmpty())
}

func TestTimeUntilARunHasEndedIsCountedByItsEvidence(t *testing.T) {
	g := NewWithT(t)
	reg := prometheus.NewRegistry()
	c := New(func(context.Context, Run) (bool, error) { return false, nil }, reg)
	_, err := c.Wait(context.Background(), &bundle.Endpoint{}, "q")
	g.Expect(err).NotTo(HaveOccurred())
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Wait(canceled, &bundle.Endpoint{}, "q")
	g.Expect(err).To(MatchError(context.Canceled))
	g.Expect(testutil.CollectAndCount(reg, "coveferry_run_end_seconds")).To(Equal(2), "answered and none")
}
