package slopes

import (
	"context"
	"net/http"

	"coveferry/internal/capacity"
	"coveferry/internal/load"
	"coveferry/internal/wire"
)

func reportProbes() []probe {
	return []probe{{
		name:  "load-report",
		sizes: []int{200, 400, 800, 1600},
		series: []capacity.Slope{
			{ID: capacity.ReportBytes, Title: "load report as a header, uncompressed", Unit: capacity.UnitBytes, Per: "report"},
			{ID: capacity.ReportEncodeCPU, Title: "load report encoded", Unit: capacity.UnitSeconds, Per: "report"},
			{ID: capacity.ReportDecodeCPU, Title: "load report decoded", Unit: capacity.UnitSeconds, Per: "report"},
		},
		measure: func(_ context.Context, n int) ([]float64, error) { return measureReports(n) },
	}}
}

// busyReport returns the report of a loaded endpoint. As in agents, Seq is a time
// in nanoseconds.
func busyReport(i int) load.Report {
	r := load.Report{Seq: uint64(issued.UnixNano()) + uint64(i), Slots: slotsOfEndpoint, DrainPerSecond: 18.918918918918919}
	for tier := range bundleTiers {
		r.Queued[tier] = (i + tier) % 40
		r.Running[tier] = (i * tier) % 12
	}
	return r
}

// measureReports returns the bytes of n reports and the CPU time to encode and to
// decode them.
func measureReports(n int) ([]float64, error) {
	headers, err := encodeReports(n)
	if err != nil {
		return nil, err
	}
	bytes := 0
	for _, h := range headers {
		bytes += len(wire.HeaderLoad) + len(h.Get(wire.HeaderLoad))
	}
	encode, err := cpuPerCall(func() error {
		_, err := encodeReports(n)
		return err
	})
	if err != nil {
		return nil, err
	}
	decode, err := cpuPerCall(func() error { return decodeReports(headers) })
	return []float64{float64(bytes), encode, decode}, err
}

func encodeReports(n int) ([]http.Header, error) {
	headers := make([]http.Header, n)
	for i := range headers {
		headers[i] = make(http.Header)
		if err := wire.Encode(headers[i], wire.HeaderLoad, busyReport(i)); err != nil {
			return nil, err
		}
	}
	return headers, nil
}

func decodeReports(headers []http.Header) error {
	for _, h := range headers {
		var r load.Report
		if err := wire.Decode(h, wire.HeaderLoad, &r); err != nil {
			return err
		}
	}
	return nil
}
