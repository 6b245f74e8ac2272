package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/directory"
	"coveferry/internal/streamversion"
)

// resumeWindow is the time in which a stream of the play can have begun.
const resumeWindow = 20 * time.Second

// versionList lists one endpoint of service s for each version.
func versionList(versions ...string) *directory.Directory {
	reading := directory.Reading{Full: true, Revision: directory.Revision{Number: 1}}
	for i, version := range versions {
		name := fmt.Sprint("e", i)
		reading.Entries = append(reading.Entries, directory.Entry{Endpoint: bundle.Endpoint{Name: name, Address: name, Services: []string{"s"}}, Version: version})
	}
	list, _ := directory.Empty().Merge(reading, time.Now(), time.Time{})
	return list
}

// startRegistries gives each router a registry of streams.
func startRegistries(ctx context.Context, f *fleet) []*streamversion.Registry {
	registries := make([]*streamversion.Registry, len(f.nodes))
	for i, n := range f.nodes {
		registries[i] = streamversion.New(streamversion.Config{Peers: n.source, ListAge: n.follower.Age, MaxListAge: maxAge})
		n.source.ServeStreams(registries[i])
		go registries[i].Run(ctx)
	}
	return registries
}

// resumedOf counts the streams of a play by what their callers find when they come back.
type resumedOf struct{ known, unknown, wrong int }

// playResumes begins streams of two versions at all routers in turn. Their callers come back to another
// router after 5 ms to 2 s. The router killed, if not negative, stops in the middle.
func playResumes(f *fleet, registries []*streamversion.Registry, streams, killed int) (all resumedOf) {
	rnd := rand.New(rand.NewPCG(uint64(len(f.nodes)), 7))
	results := make(chan resumedOf, streams)
	for i := range streams {
		at, back := i%len(f.nodes), rnd.IntN(len(f.nodes)-1)
		if back >= at {
			back++
		}
		if i > streams/2 && at == killed || back == killed {
			results <- resumedOf{}
			continue
		}
		version := fmt.Sprint("v", 1+rnd.IntN(2))
		id := streamversion.IDOf(fmt.Sprint("stream", i))
		registries[at].Begin(time.Now(), id, streamversion.ServiceVersion{Service: "s", Version: version})
		delay := 5*time.Millisecond + time.Duration(rnd.Int64N(int64(2*time.Second)))
		go func() {
			time.Sleep(delay)
			found, known := registries[back].Find(context.Background(), streamversion.Query{ID: id, Service: "s", Window: resumeWindow})
			switch {
			case !known:
				results <- resumedOf{unknown: 1}
			case found.ServiceVersion.Version != version:
				results <- resumedOf{wrong: 1}
			default:
				results <- resumedOf{known: 1}
			}
		}()
		if i == streams/2 && killed >= 0 {
			f.nodes[killed].shutDown()
		}
		time.Sleep(5 * time.Millisecond)
	}
	for range streams {
		r := <-results
		all = resumedOf{all.known + r.known, all.unknown + r.unknown, all.wrong + r.wrong}
	}
	return all
}

// minKnown is the share of resumed streams whose version must be known while two versions serve.
const minKnown = 0.9

func TestResumedStreamsOfTwoVersionsAreKnownAtAnyRouter(t *testing.T) {
	for _, size := range []int{3, 12, 31, 103} {
		for _, killed := range []int{-1, 1} {
			name := fmt.Sprintf("%d routers, killed %d", size, killed)
			runFleetShape(t, size, 3, 0, func(g *WithT, f *fleet) {
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(time.Second) // until the registries have ended
				defer cancel()
				registries := startRegistries(ctx, f)
				for _, r := range registries {
					r.UpdateList(time.Now(), versionList("v1", "v1", "v2"))
				}
				got := playResumes(f, registries, 600, killed)
				t.Logf("%s: %+v", name, got)
				g.Expect(got.wrong).To(BeZero())
				g.Expect(float64(got.known)).To(BeNumerically(">=", minKnown*float64(got.known+got.unknown)))
			})
		}
	}
}

// All streams that were open when the second version came must be known as well.
func TestStreamsFromBeforeTheSecondVersionAreKnown(t *testing.T) {
	runFleet(t, 6, func(g *WithT, f *fleet) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second)
		defer cancel()
		registries := startRegistries(ctx, f)
		for _, r := range registries {
			r.UpdateList(time.Now(), versionList("v1", "v1"))
		}
		time.Sleep(2 * time.Minute)
		const streams = 60
		for i := range streams {
			registries[i%len(registries)].Begin(time.Now(), streamversion.IDOf(fmt.Sprint(i)), streamversion.ServiceVersion{Service: "s", Version: "v1"})
		}
		for _, r := range registries {
			r.UpdateList(time.Now(), versionList("v1", "v1", "v2"))
		}
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		for i := range streams {
			found, known := registries[(i+1)%len(registries)].Find(ctx, streamversion.Query{ID: streamversion.IDOf(fmt.Sprint(i)), Service: "s", Window: resumeWindow})
			g.Expect(known).To(BeTrue())
			g.Expect(found.ServiceVersion.Version).To(Equal("v1"))
		}
	})
}
