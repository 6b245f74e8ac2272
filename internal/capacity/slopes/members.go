package slopes

import (
	"context"
	"net/http"

	"coveferry/internal/capacity"
	"coveferry/internal/membership"
	"coveferry/internal/standin/vmlist"
)

func memberProbes() []probe {
	return []probe{
		{
			name:  "members",
			sizes: []int{500, 1000, 2000, 4000},
			series: []capacity.Slope{
				{ID: capacity.MemberMemory, Title: "router's membership, with the platform's list", Unit: capacity.UnitBytes, Per: "endpoint"},
			},
			measure: func(_ context.Context, n int) ([]float64, error) { return measureMembers(n) },
		},
		{
			name:  "vm-list",
			sizes: []int{500, 1000, 2000, 4000},
			series: []capacity.Slope{
				{ID: capacity.VMListBytes, Title: "platform's list read", Unit: capacity.UnitBytes, Per: "VM", Substitute: listSubstitute},
				{ID: capacity.VMListCPU, Title: "platform's list read, server and reader", Unit: capacity.UnitSeconds, Per: "VM", Substitute: listSubstitute},
			},
			measure: measureVMList,
		},
	}
}

const listSubstitute = "the stand-in of the platform's list, internal/standin/vmlist"

// measureMembers returns the memory of a membership core with n endpoints.
func measureMembers(n int) ([]float64, error) {
	memory, err := memoryOf(func() (any, error) {
		core := membership.NewCore(membership.Tuning{})
		var places membership.BundleApplied
		read := membership.ListRead{At: issued}
		for i := range n {
			e := makeEndpoint(i)
			places.Endpoints = append(places.Endpoints, membership.EndpointSpec{Endpoint: e.Name, VM: e.VM, Address: e.Address})
			read.VMs = append(read.VMs, membership.VM{Name: e.VM})
		}
		core.Apply(issued, places)
		core.Apply(issued, read)
		return core, nil
	})
	return []float64{memory}, err
}

// measureVMList returns the bytes and the CPU time of one read of a list of n VMs.
func measureVMList(ctx context.Context, n int) ([]float64, error) {
	list := vmlist.New(0)
	vms := make([]vmlist.VM, n)
	for i := range vms {
		e := makeEndpoint(i)
		vms[i] = vmlist.VM{Name: e.VM, Address: e.Address, FailureDomain: e.FailureDomain, State: vmlist.Live}
	}
	list.Set(vms...)
	url, stop, err := serve(list.Handler())
	if err != nil {
		return nil, err
	}
	defer stop()
	count := &counter{}
	client := &http.Client{Transport: countedTransport(count, 1)}
	defer client.CloseIdleConnections()
	platform := membership.NewPlatformClient(client, url)
	read := func() error {
		_, err := platform.Read(ctx)
		return err
	}
	if err := read(); err != nil {
		return nil, err
	}
	before := count.bytes.Load()
	if err := read(); err != nil {
		return nil, err
	}
	bytes := float64(count.bytes.Load() - before)
	cpu, err := cpuPerCall(read)
	return []float64{bytes, cpu}, err
}
