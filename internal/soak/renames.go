package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// HasRenames reports whether endpoints come back at their addresses under other names and send refusals twice,
// others write odd entries to the list, and new software versions join while a router is isolated, in the
// runs of a seed: every second block of 16384000 seeds.
func HasRenames(seed uint64) bool { return seed/16384000%2 == 1 }

// The kinds of fault that only seeds with renames have. EndpointRename is SIGKILL, after which a new process
// with another name gets the address at once; the old entry expires. OddEntry is an odd entry in the list.
// VersionJoins has endpoints of a new version join and end while the last router can't reach the store.
const (
	EndpointRename Kind = "endpoint_rename"
	OddEntry       Kind = "odd_entry"
	VersionJoins   Kind = "version_joins"
)

const (
	// longestReturn is how long after its beginning a stream may be resumed in these runs: within it routers
	// infer no version after a start, and after a version has come or gone.
	longestReturn = 2 * time.Second
	// meanRenameGap is the mean time between two faults of renames, and meanJoinGap between two versions that
	// join: long enough that routers infer versions between them.
	meanRenameGap = 700 * time.Millisecond
	meanJoinGap   = 5 * time.Second
	// A router is isolated for shortestIsolation to longestIsolation. The longest is above the age from which
	// on a list counts as lost.
	shortestIsolation = 400 * time.Millisecond
	longestIsolation  = 2 * time.Second
)

// renames uses its own random source, like growth.
func renames(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 14))
	var plan []Fault
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanRenameGap)) {
		f := Fault{At: at, Kind: EndpointRename, Target: rnd.IntN(1 << 16)}
		if rnd.IntN(3) == 0 {
			f.Kind = OddEntry
		}
		plan = append(plan, f)
	}
	for at := faultFreeStart + longestReturn; at < end; at += longestReturn + time.Duration(rnd.ExpFloat64()*float64(meanJoinGap-longestReturn)) {
		f := Fault{At: at, Kind: VersionJoins, Target: rnd.IntN(1 << 16)}
		f.Duration = min(shortestIsolation+randomDuration(rnd, longestIsolation-shortestIsolation), end-at)
		plan = append(plan, f)
	}
	return append(plan, failures(EndpointRefusing, rnd, end)...)
}

// daemonArgs returns the arguments of the routers' program.
func daemonArgs(seed uint64) []string {
	if HasRenames(seed) {
		return []string{"direct", "--longest-return", longestReturn.String()}
	}
	return []string{"direct"}
}

// seedsOf returns the seeds of the router with the given number. In runs with renames the last one and the
// others don't know each other, so that it learns of nothing from them.
func (r *run) seedsOf(number int, control string, seeds []string) []string {
	if !HasRenames(r.opts.Seed) || r.opts.Routers < 2 {
		return seeds
	}
	if number == r.opts.Routers-1 {
		return []string{control}
	}
	return seeds[:min(len(seeds), r.opts.Routers-1)]
}

// renameEndpoint replaces an endpoint by a process with another name at the same address.
func (r *run) renameEndpoint(ctx context.Context, f Fault) {
	old := r.removeEndpoint(f.Target)
	if old == nil {
		return
	}
	r.beginEndpointFault(old, time.Now())
	old.process.End()
	next := &endpointProc{proxy: old.proxy, listenAddr: old.listenAddr, endpoint: old.endpoint}
	r.nameEndpoint(next, old.endpoint.Version)
	if err := r.runEndpoint(ctx, next); err != nil {
		fmt.Fprintln(r.opts.Progress, err)
		return
	}
	r.serveWith(next)
	sleepUntil(ctx, time.Now().Add(listTimeout))
	r.wire.Unlist(old.endpoint.Name)
}

// joinVersion has endpoints of a new version join while the last router can't reach the store, and ends them with
// the streams that they run.
func (r *run) joinVersion(ctx context.Context, f Fault) {
	isolated := r.routers[len(r.routers)-1]
	var joined []*endpointProc
	r.recordRouterFault(isolated, func() {
		until := time.Now().Add(f.Duration)
		isolated.storeProxy.SetFault(NetFaultSilence)
		joined = r.startVersion(ctx, fmt.Sprintf("joined-%d", f.Target))
		sleepUntil(ctx, until.Add(-f.Duration/3))
		for _, e := range joined {
			e.process.End()
		}
		sleepUntil(ctx, until)
		isolated.storeProxy.SetFault(NetFaultNone)
	})
	sleepUntil(ctx, time.Now().Add(listTimeout))
	for _, e := range joined {
		r.wire.Unlist(e.endpoint.Name)
	}
}

// startVersion starts and lists an endpoint of a version in each failure domain. They end soon, so that they
// count as faulty from the start.
func (r *run) startVersion(ctx context.Context, version string) []*endpointProc {
	var started []*endpointProc
	for _, domain := range allDomains() {
		e, err := r.newEndpoint(ctx, "model", domain, version)
		if err != nil {
			fmt.Fprintln(r.opts.Progress, err)
			continue
		}
		r.beginEndpointFault(e, time.Now())
		r.wire.List(e.endpoint)
		started = append(started, e)
	}
	return started
}
