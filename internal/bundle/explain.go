package bundle

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"coveferry/internal/units"
)

// Explanation describes how a bundle handles requests of a team in a class for a
// model or service.
type Explanation struct {
	Version uint64 `json:"version"`
	Team    string `json:"team"`
	Class   string `json:"class"`
	// Model is the model or, for a plain service, the service.
	Model string `json:"model"`
	// Service means that the target is a plain service.
	Service bool `json:"service"`
	// Routed means that such a request is sent to an endpoint, unless limits or load
	// prevent it. Otherwise Reason says why it is rejected.
	Routed bool   `json:"routed"`
	Reason string `json:"reason,omitempty"`

	Tier     string `json:"tier,omitempty"`
	TierRank int    `json:"tier_rank"` // 0 is the highest
	Tiers    int    `json:"tiers"`

	FirstToken    units.Duration  `json:"first_token"`
	BetweenTokens units.Duration  `json:"between_tokens"`
	Deadline      units.Duration  `json:"deadline"`
	Domains       []DomainSummary `json:"failure_domains"`
	Slots         int             `json:"slots"`
	// Placed are the endpoints whose placement contains the model, whether or not
	// they serve it.
	Placed       []string    `json:"placed,omitempty"`
	Routers      []string    `json:"routers,omitempty"` // all routers of the bundle
	Limits       TeamLimits  `json:"limits"`
	RequestBytes units.Bytes `json:"request_bytes"`
}

// DomainSummary lists the endpoints of one failure domain.
type DomainSummary struct {
	FailureDomain string   `json:"failure_domain"`
	Endpoints     []string `json:"endpoints"`
	Slots         int      `json:"slots"`
}

// Explain describes how a request would be handled. An empty class stands for the
// team's default class; model may also name a plain service. The error is a
// *NotFoundError if the bundle doesn't define the team, class or target.
func Explain(b *Bundle, team, class, model string) (*Explanation, error) {
	t, err := find(KindTeam, b.Teams, team, func(t *Team) string { return t.Name })
	if err != nil {
		return nil, err
	}
	if class == "" && len(t.Grants) > 0 {
		class = t.Grants[0].Class
	}
	c, err := find(KindClass, b.Classes, class, func(c *Class) string { return c.Name })
	if err != nil {
		return nil, err
	}
	service, err := isService(b, model)
	if err != nil {
		return nil, err
	}
	e := &Explanation{
		Version: b.Version, Team: team, Class: class, Model: model, Service: service,
		FirstToken: c.FirstToken, BetweenTokens: c.BetweenTokens, Deadline: c.Deadline,
		Limits: t.Limits, RequestBytes: b.Limits.RequestBytes,
		TierRank: -1, Tiers: len(b.Tiers),
		Routers: namesOf(b.Routers, func(r *Router) string { return r.Name }),
	}
	e.setTier(b, t)
	e.setEndpoints(b)
	e.setOutcome()
	return e, nil
}

func find[T any](kind ItemKind, items []T, name string, nameOf func(*T) string) (*T, error) {
	for i := range items {
		if nameOf(&items[i]) == name {
			return &items[i], nil
		}
	}
	return nil, &NotFoundError{Kind: kind, Name: name, Known: namesOf(items, nameOf)}
}

func isService(b *Bundle, target string) (bool, error) {
	_, modelErr := find(KindModel, b.Models, target, func(m *Model) string { return m.Name })
	if modelErr == nil {
		return false, nil
	}
	_, serviceErr := find(KindService, b.Services, target, func(s *Service) string { return s.Name })
	if serviceErr == nil {
		return true, nil
	}
	return false, modelErr
}

// setTier sets the tier that is granted to the team for the class.
func (e *Explanation) setTier(b *Bundle, t *Team) {
	for _, g := range t.Grants {
		if g.Class == e.Class {
			e.Tier = g.Tier
			e.TierRank = slices.IndexFunc(b.Tiers, func(t Tier) bool { return t.Name == g.Tier })
		}
	}
}

// setEndpoints sets the endpoints that serve the target, by failure domain, and those
// whose placement contains it.
func (e *Explanation) setEndpoints(b *Bundle) {
	e.Domains = []DomainSummary{}
	for i := range b.Endpoints {
		ep := &b.Endpoints[i]
		if e.servedBy(ep) {
			e.addEndpoint(ep)
		}
		if !e.Service && slices.Contains(ep.Placement.Models, e.Model) {
			e.Placed = append(e.Placed, ep.Name)
		}
	}
	slices.SortFunc(e.Domains, func(x, y DomainSummary) int { return cmp.Compare(x.FailureDomain, y.FailureDomain) })
}

func (e *Explanation) servedBy(ep *Endpoint) bool {
	if e.Service {
		return slices.Contains(ep.Services, e.Model)
	}
	return slices.Contains(ep.Models, e.Model)
}

func (e *Explanation) addEndpoint(ep *Endpoint) {
	index := slices.IndexFunc(e.Domains, func(d DomainSummary) bool { return d.FailureDomain == ep.FailureDomain })
	if index < 0 {
		index = len(e.Domains)
		e.Domains = append(e.Domains, DomainSummary{FailureDomain: ep.FailureDomain})
	}
	d := &e.Domains[index]
	d.Endpoints = append(d.Endpoints, ep.Name)
	d.Slots += ep.Slots
	e.Slots += ep.Slots
}

func (e *Explanation) setOutcome() {
	switch {
	case e.Tier == "":
		e.Reason = fmt.Sprintf("team %q has no grant for class %q", e.Team, e.Class)
	case len(e.Domains) == 0:
		e.Reason = fmt.Sprintf("no endpoint serves %q", e.Model)
	default:
		e.Routed = true
	}
}

// String returns the explanation as text of several lines.
func (e *Explanation) String() string {
	var s strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&s, format+"\n", args...) }
	line("A request of team %q in class %q for %s %q, by bundle version %d:", e.Team, e.Class, e.targetKind(), e.Model, e.Version)
	if !e.Routed {
		line("  is refused: %s", e.Reason)
		return s.String()
	}
	line("  tier       %s (rank %d of %d, 1 is the highest)", e.Tier, e.TierRank+1, e.Tiers)
	line("  targets    first token within %s, %sanswer of no worth after %s",
		e.FirstToken.Std(), e.betweenTokens(), e.Deadline.Std())
	for _, d := range e.Domains {
		line("  endpoints  %s: %s (%d slots)", d.FailureDomain, strings.Join(d.Endpoints, ", "), d.Slots)
	}
	line("  capacity   %d slots in %d failure domain(s)", e.Slots, len(e.Domains))
	if len(e.Placed) > 0 {
		line("  placed on  %s", strings.Join(e.Placed, ", "))
	}
	if len(e.Routers) > 0 {
		line("  routers    %s", strings.Join(e.Routers, ", "))
	}
	line("  limits     %s; body up to %s", e.Limits, size(e.RequestBytes))
	return s.String()
}

func (e *Explanation) targetKind() ItemKind {
	if e.Service {
		return KindService
	}
	return KindModel
}

func (e *Explanation) betweenTokens() string {
	if e.BetweenTokens == 0 {
		return ""
	}
	return fmt.Sprintf("%s between tokens, ", e.BetweenTokens.Std())
}

// String returns the limits that are set.
func (l TeamLimits) String() string {
	var set []string
	if l.RequestsPerSecond > 0 {
		set = append(set, fmt.Sprintf("%g requests/s", l.RequestsPerSecond))
	}
	if l.TokensPerSecond > 0 {
		set = append(set, fmt.Sprintf("%g tokens/s", l.TokensPerSecond))
	}
	if l.Concurrency > 0 {
		set = append(set, fmt.Sprintf("%d at once", l.Concurrency))
	}
	return listOrNone(set)
}

func listOrNone(items []string) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, ", ")
}
