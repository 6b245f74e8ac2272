package bundle

import (
	"net/netip"

	"coveferry/internal/jsonc"
)

func checkRouterLocations(b *Bundle, f *Findings) {
	for i := range b.Routers {
		path := jsonc.IndexPath("routers", i)
		checkPlainName(path, "failure_domain", b.Routers[i].FailureDomain, f)
		checkPlainName(path, "region", b.Routers[i].Region, f)
	}
}

// controlAddress is a control address with its path in the bundle.
type controlAddress struct{ path, address string }

// controlAddresses returns the control addresses of all routers and of the endpoints
// that have one.
func controlAddresses(b *Bundle) []controlAddress {
	var out []controlAddress
	for i := range b.Endpoints {
		if a := b.Endpoints[i].ControlAddress; a != "" {
			out = append(out, controlAddress{jsonc.KeyPath(jsonc.IndexPath("endpoints", i), "control_address"), a})
		}
	}
	for i := range b.Routers {
		out = append(out, controlAddress{jsonc.KeyPath(jsonc.IndexPath("routers", i), "control_address"), b.Routers[i].ControlAddress})
	}
	return out
}

func checkControlAddresses(b *Bundle, f *Findings) {
	for _, c := range controlAddresses(b) {
		checkAddress(c.path, c.address, f)
	}
}

// checkUniqueControlAddresses reports control addresses that equal another control
// address or the address of an endpoint.
func checkUniqueControlAddresses(b *Bundle, f *Findings) {
	taken := make(map[netip.AddrPort]string)
	for i := range b.Endpoints {
		if addr, ok := ParseAddress(b.Endpoints[i].Address); ok {
			taken[addr] = "address of " + jsonc.IndexPath("endpoints", i)
		}
	}
	for _, c := range controlAddresses(b) {
		addr, ok := ParseAddress(c.address)
		if !ok {
			continue
		}
		if owner, dup := taken[addr]; dup {
			f.errorf(c.path, "%s is already the %s", addr, owner)
			continue
		}
		taken[addr] = c.path
	}
}

// checkControlCoverage warns of endpoints without a control address if the bundle
// has control addresses at all.
func checkControlCoverage(b *Bundle, f *Findings) {
	if len(controlAddresses(b)) == 0 {
		return
	}
	for i := range b.Endpoints {
		if e := &b.Endpoints[i]; e.ControlAddress == "" {
			f.warnf(jsonc.IndexPath("endpoints", i), "endpoint %q has no control_address, so no process tells its agent of new versions", e.Name)
		}
	}
}
