package streamversion

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/age"
	"coveferry/internal/bundle"
	"coveferry/internal/directory"
)

// listOf returns a list of one endpoint of service s for each version.
func listOf(versions ...string) *directory.Directory {
	reading := directory.Reading{Full: true, Revision: directory.Revision{Number: 1}}
	for i, version := range versions {
		name := fmt.Sprint("e", i)
		reading.Entries = append(reading.Entries, directory.Entry{Endpoint: bundle.Endpoint{Name: name, Address: name, Services: []string{"s"}}, Version: version})
	}
	list, _ := directory.Empty().Merge(reading, time.Now(), time.Time{})
	return list
}

// fakePeers records what it is told and gives the same answers to all queries.
type fakePeers struct {
	told    []Stream
	answers []Answer
	delay   time.Duration
	asked   int
}

func (p *fakePeers) TellStreams(_ context.Context, streams []Stream) {
	p.told = append(p.told, streams...)
}

func (p *fakePeers) AskStream(ctx context.Context, _ Query) []Answer {
	p.asked++
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(p.delay):
		return p.answers
	}
}

func (p *fakePeers) TellInterval(int) time.Duration { return 50 * time.Millisecond }

const (
	window     = 10 * time.Second
	maxListAge = 2 * time.Second
	// changesDelay is how long the source takes to answer.
	changesDelay = 4 * time.Millisecond
)

type fixture struct {
	*WithT
	*Registry
	peers   fakePeers
	listAge time.Duration
	// confirmedAt is when the list was last known to be the newest, if it isn't read any more.
	confirmedAt time.Time
	// changes is what the source answers to the question for changes.
	changes    directory.Reading
	changesErr error
	// changesAsked counts these questions.
	changesAsked int
}

func (f *fixture) ageOfList() age.Age {
	if !f.confirmedAt.IsZero() {
		return age.Of(time.Since(f.confirmedAt))
	}
	return age.Of(f.listAge)
}

func (f *fixture) askChanges(ctx context.Context, _ directory.Revision) (directory.Reading, error) {
	f.changesAsked++
	time.Sleep(changesDelay)
	return f.changes, f.changesErr
}

func run(t *testing.T, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{WithT: NewWithT(t)}
		f.Registry = New(Config{Peers: &f.peers, ListAge: f.ageOfList, MaxListAge: maxListAge, Changes: f.askChanges})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		test(f)
	})
}

func (f *fixture) update(versions ...string) { f.UpdateList(time.Now(), listOf(versions...)) }

func (f *fixture) find(id string) (Finding, bool) {
	q := Query{Service: "s", Window: window}
	if id != "" {
		q.ID = IDOf(id)
	}
	return f.Find(context.Background(), q)
}

func (f *fixture) begin(id, version string) {
	f.Begin(time.Now(), IDOf(id), ServiceVersion{"s", version})
}

func TestNothingIsToldWhereOthersCanInferTheVersion(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v1", "v1")
		time.Sleep(DefaultLongestReturn)
		f.begin("a", "v1")
		time.Sleep(time.Second)
		f.Expect(f.peers.told).To(BeEmpty())
	})
}

func TestOpenStreamsAreToldWhenASecondVersionComes(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v1", "v1")
		time.Sleep(DefaultLongestReturn)
		f.begin("a", "v1")
		f.begin("b", "v1")
		f.End(IDOf("b"))
		f.update("v1", "v1", "v2")
		f.begin("c", "v2")
		time.Sleep(100 * time.Millisecond)
		f.Expect(f.peers.told).To(ConsistOf(Stream{IDOf("a"), ServiceVersion{"s", "v1"}}, Stream{IDOf("c"), ServiceVersion{"s", "v2"}}))
	})
}

func TestOpenStreamsAreToldWhenTheListIsLost(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v1", "v1")
		time.Sleep(DefaultLongestReturn)
		f.begin("a", "v1")
		f.listAge = maxListAge + 1
		time.Sleep(time.Second)
		f.Expect(f.peers.told).To(HaveLen(1), "once")
		f.listAge = 0
		time.Sleep(window - time.Second)
		_, known := f.find("other")
		f.Expect(known).To(BeFalse(), "another version may have come and gone unseen")
		time.Sleep(2 * time.Second)
		found, known := f.find("other")
		f.Expect(known).To(BeTrue())
		f.Expect(found.Evidence).To(Equal(EvidenceList))
	})
}

func TestStartedRouterLearnsFromOthers(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v1")
		_, known := f.find("a")
		f.Expect(known).To(BeFalse(), "nobody knows")
		f.peers.answers = []Answer{{}, {Known: true, ServiceVersion: ServiceVersion{"s", "v2"}, Single: true, Only: "v1"}}
		found, known := f.find("a")
		f.Expect(known).To(BeTrue())
		f.Expect(found.ServiceVersion.Version).To(Equal("v2"))
		f.Expect(found.Evidence).To(Equal(EvidencePeer))
		f.peers.answers = []Answer{{}, {Single: true, Only: "v1"}}
		for _, id := range []string{"a", ""} {
			found, known = f.find(id)
			f.Expect(known).To(BeTrue())
			f.Expect(found.Evidence).To(Equal(EvidencePeerList))
		}
		f.peers.answers = []Answer{{Single: true, Only: "v2"}, {Single: true, Only: "v1"}}
		_, known = f.find("a")
		f.Expect(known).To(BeFalse(), "they differ")
		f.peers.answers = []Answer{{Single: true, Only: "v3"}}
		_, known = f.find("a")
		f.Expect(known).To(BeFalse(), "this router's own list differs")
	})
}

func TestAnswersOfOthersAreAwaitedBriefly(t *testing.T) {
	run(t, func(f *fixture) {
		f.peers.delay = time.Hour
		f.update("v1")
		for _, longest := range []time.Duration{askTimeout, inferredAskTimeout} {
			start := time.Now()
			_, known := f.find("a")
			f.Expect(known).To(Equal(longest == inferredAskTimeout))
			f.Expect(time.Since(start)).To(Equal(longest))
			time.Sleep(window)
		}
		f.begin("own", "v1")
		asked := f.peers.asked
		_, known := f.find("own")
		f.Expect(known).To(BeTrue())
		f.Expect(f.peers.asked).To(Equal(asked), "an own stream needs no question")
	})
}

func TestOutdatedListInfersNothing(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v1")
		time.Sleep(2 * window)
		f.listAge = maxListAge + 1
		_, known := f.find("a")
		f.Expect(known).To(BeFalse())
		f.Expect(f.Answer(context.Background(), time.Now(), Query{Service: "s", Window: window}).Single).To(BeFalse())
	})
}

func TestVersionThatComesBackIsTheSame(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v1", "v1")
		f.begin("a", "v1")
		f.update("v1", "v2")
		f.update("v2", "v2")
		f.update("v1", "v2")
		f.update("v1", "v1")
		found, known := f.find("a")
		f.Expect(known).To(BeTrue())
		f.Expect(found.ServiceVersion.Version).To(Equal("v1"))
	})
}

func TestStreamsAreForgottenWhenNobodyCanResumeThem(t *testing.T) {
	run(t, func(f *fixture) {
		f.SetLongestTimeout(time.Minute)
		f.Record(time.Now(), Stream{IDOf("a"), ServiceVersion{"s", "v1"}})
		time.Sleep(2 * time.Minute)
		f.Expect(f.Answer(context.Background(), time.Now(), Query{ID: IDOf("a")}).Known).To(BeTrue())
		time.Sleep(2 * time.Minute)
		f.Expect(f.Answer(context.Background(), time.Now(), Query{ID: IDOf("a")}).Known).To(BeFalse())
		f.Record(time.Now(), Stream{IDOf("b"), ServiceVersion{"s", "v1"}})
		f.Expect(f.told.len()).To(Equal(1), "the old one takes no memory")
	})
}

func TestMemoryOfStreamsIsBounded(t *testing.T) {
	run(t, func(f *fixture) {
		const many = 4 * tableShards * maxPerShard
		for i := range many {
			f.Record(time.Now(), Stream{StreamID(i), ServiceVersion{"s", "v1"}})
		}
		f.Expect(f.told.len()).To(BeNumerically("<=", 2*tableShards*maxPerShard))
		f.Expect(f.Answer(context.Background(), time.Now(), Query{ID: many - 1}).Known).To(BeTrue(), "the latest is kept")
	})
}

// A whole fleet that starts again has seen nothing of the versions before.
func TestStartedRouterTakesNoVersionForTheOnlyOneThatServed(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v2", "v2")
		for range int(DefaultLongestReturn / time.Minute) {
			found, known := f.Find(context.Background(), Query{ID: IDOf("a"), Service: "s", Window: DefaultLongestReturn})
			f.Expect(known).To(BeFalse(), "%+v", found)
			_, known = f.Find(context.Background(), Query{Service: "s", Window: DefaultLongestReturn})
			f.Expect(known).To(BeFalse())
			time.Sleep(time.Minute - toldWithin)
		}
		time.Sleep(time.Second)
		_, known := f.Find(context.Background(), Query{Service: "s", Window: DefaultLongestReturn})
		f.Expect(known).To(BeTrue())
	})
}

func TestStreamThatIsToldLateIsFound(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v1", "v2")
		time.Sleep(settleTime)
		time.AfterFunc(toldWithin/2, func() { f.Record(time.Now(), Stream{IDOf("a"), ServiceVersion{"s", "v1"}}) })
		found, known := f.find("a")
		f.Expect(known).To(BeTrue())
		f.Expect(found.ServiceVersion.Version).To(Equal("v1"))
		start := time.Now()
		_, known = f.find("b")
		f.Expect(known).To(BeFalse())
		f.Expect(time.Since(start)).To(BeNumerically("<=", toldWithin+2*askTimeout))
	})
}

func TestStreamsAreKeptForAsLongAsCallersWait(t *testing.T) {
	run(t, func(f *fixture) {
		f.SetLongestTimeout(4 * time.Second)
		f.RecordCallerTimeout(30 * time.Second)
		f.RecordCallerTimeout(time.Second)
		f.Record(time.Now(), Stream{IDOf("a"), ServiceVersion{"s", "v1"}})
		time.Sleep(time.Minute - time.Second)
		f.Expect(f.Answer(context.Background(), time.Now(), Query{ID: IDOf("a")}).Known).To(BeTrue())
	})
}
