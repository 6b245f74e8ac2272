package bundle

import (
	"net/netip"
	"slices"

	"coveferry/internal/jsonc"
)

// MaxSlots bounds the slots of an endpoint.
const MaxSlots = 100_000

func checkEndpointLocations(b *Bundle, f *Findings) {
	for i := range b.Endpoints {
		e := &b.Endpoints[i]
		path := jsonc.IndexPath("endpoints", i)
		checkPlainName(path, "vm", e.VM, f)
		checkPlainName(path, "failure_domain", e.FailureDomain, f)
		checkPlainName(path, "region", e.Region, f)
	}
}

func checkPlainName(path, key, name string, f *Findings) {
	if !plainName.matches(name) {
		f.errorf(jsonc.KeyPath(path, key), "%q is not a valid name; %s", name, plainName.help)
	}
}

// ParseAddress parses the literal IP and port of an endpoint. An IPv4-mapped IPv6 address equals its
// IPv4 address. An IPv6 address with a zone, such as fe80::1%eth0, has no place in a request's URL.
func ParseAddress(text string) (netip.AddrPort, bool) {
	ap, err := netip.ParseAddrPort(text)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() || ap.Addr().IsMulticast() || ap.Addr().Zone() != "" {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()), true
}

func checkEndpointAddresses(b *Bundle, f *Findings) {
	for i := range b.Endpoints {
		checkAddress(jsonc.KeyPath(jsonc.IndexPath("endpoints", i), "address"), b.Endpoints[i].Address, f)
	}
}

func checkAddress(path, address string, f *Findings) {
	if _, ok := ParseAddress(address); !ok {
		f.errorf(path, "%q is not an IP address and port such as \"10.0.0.7:7410\" or \"[fd00::7]:7410\"", address)
	}
}

func checkUniqueAddresses(b *Bundle, f *Findings) {
	first := make(map[netip.AddrPort]int, len(b.Endpoints))
	for i := range b.Endpoints {
		addr, ok := ParseAddress(b.Endpoints[i].Address)
		if !ok {
			continue
		}
		if j, dup := first[addr]; dup {
			f.errorf(jsonc.KeyPath(jsonc.IndexPath("endpoints", i), "address"), "%s is already the address of %s", addr, jsonc.IndexPath("endpoints", j))
			continue
		}
		first[addr] = i
	}
}

func checkEndpointSlots(b *Bundle, f *Findings) {
	for i := range b.Endpoints {
		if n := b.Endpoints[i].Slots; n < 1 || n > MaxSlots {
			f.errorf(jsonc.KeyPath(jsonc.IndexPath("endpoints", i), "slots"), "%d is outside 1 to %d", n, MaxSlots)
		}
	}
}

func checkEndpointServes(b *Bundle, f *Findings) {
	for i := range b.Endpoints {
		e := &b.Endpoints[i]
		if len(e.Models) == 0 && len(e.Services) == 0 {
			f.errorf(jsonc.IndexPath("endpoints", i), "endpoint %q serves nothing; name models or services", e.Name)
		}
	}
}

func checkServedModels(b *Bundle, f *Findings) {
	known := setOf(namesOf(b.Models, func(m *Model) string { return m.Name }))
	for i := range b.Endpoints {
		checkServed(i, "models", b.Endpoints[i].Models, known, f)
	}
}

func checkServedServices(b *Bundle, f *Findings) {
	known := setOf(namesOf(b.Services, func(s *Service) string { return s.Name }))
	for i := range b.Endpoints {
		checkServed(i, "services", b.Endpoints[i].Services, known, f)
	}
}

// checkServed checks the names that an endpoint lists under a key. The names must be
// defined in the bundle's list of the same key.
func checkServed(endpoint int, key string, names []string, known nameSet, f *Findings) {
	for i, name := range names {
		if known.has(name) && !slices.Contains(names[:i], name) {
			continue
		}
		path := jsonc.IndexPath(jsonc.KeyPath(jsonc.IndexPath("endpoints", endpoint), key), i)
		if !known.has(name) {
			f.errorf(path, "%q is not in %s", name, key)
		} else {
			f.errorf(path, "%q is named twice", name)
		}
	}
}

func checkModelCoverage(b *Bundle, f *Findings) {
	domains := domainsOf(b.Endpoints, func(e *Endpoint) []string { return e.Models })
	for i := range b.Models {
		checkCoverage(jsonc.IndexPath("models", i), "model", b.Models[i].Name, domains, f)
	}
}

func checkServiceCoverage(b *Bundle, f *Findings) {
	domains := domainsOf(b.Endpoints, func(e *Endpoint) []string { return e.Services })
	for i := range b.Services {
		checkCoverage(jsonc.IndexPath("services", i), "service", b.Services[i].Name, domains, f)
	}
}

// domainsOf returns the failure domains in which each target is served.
func domainsOf(endpoints []Endpoint, targets func(*Endpoint) []string) map[string]nameSet {
	out := make(map[string]nameSet)
	for i := range endpoints {
		for _, t := range targets(&endpoints[i]) {
			if out[t] == nil {
				out[t] = make(nameSet)
			}
			out[t][endpoints[i].FailureDomain] = struct{}{}
		}
	}
	return out
}

func checkCoverage(path, kind, name string, domains map[string]nameSet, f *Findings) {
	switch len(domains[name]) {
	case 0:
		f.warnf(path, "%s %q has no endpoint, so its requests are rejected", kind, name)
	case 1:
		f.warnf(path, "%s %q has endpoints in a single failure domain only", kind, name)
	}
}
