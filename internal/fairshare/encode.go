package fairshare

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strconv"
)

// message is the form of Sums in messages. Each team is named once for all groups: 24 teams at 3 ranks
// take half of the bytes that a map by group takes.
type message struct {
	Teams  []string       `json:"t,omitempty"`
	Groups []messageGroup `json:"g"`
}

type messageGroup struct {
	Service string `json:"s"`
	Rank    int    `json:"r,omitempty"`
	Routers int    `json:"n,omitempty"`
	Short   bool   `json:"p,omitempty"`
	// Millis are the sums of the teams in the order of message.Teams, in milliseconds of work.
	Millis []int64 `json:"w,omitempty"`
	// Rest is in milliseconds too.
	Rest      int64 `json:"rest,omitempty"`
	RestTeams int   `json:"of,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (s Sums) MarshalJSON() ([]byte, error) { return json.Marshal(s.message()) }

func (s Sums) message() message {
	named := make(map[string]struct{})
	for _, g := range s {
		for team := range g.Teams {
			named[team] = struct{}{}
		}
	}
	m := message{Teams: slices.Sorted(maps.Keys(named))}
	for _, g := range s {
		out := messageGroup{Service: g.Service, Rank: g.Rank, Routers: g.Routers, Short: g.Short, Rest: millis(g.Rest), RestTeams: g.RestTeams}
		for i, team := range m.Teams {
			if sum := millis(g.Teams[team]); sum > 0 {
				out.Millis = append(out.Millis, make([]int64, i-len(out.Millis))...)
				out.Millis = append(out.Millis, sum)
			}
		}
		m.Groups = append(m.Groups, out)
	}
	return m
}

// significant is the number of digits of a sum in a message: the error is at most 0.005.
const significant = 3

// millis returns seconds in milliseconds with the significant digits.
func millis(seconds float64) int64 {
	ms := math.Round(min(max(seconds, 0), math.MaxInt32) * 1000)
	unit := math.Pow(10, max(0, math.Floor(math.Log10(max(ms, 1)))+1-significant))
	return int64(math.Round(ms/unit) * unit)
}

// UnmarshalJSON implements json.Unmarshaler. The result has yet to be checked.
func (s *Sums) UnmarshalJSON(text []byte) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	*s = nil
	for _, g := range m.Groups {
		out := Group{Service: g.Service, Rank: g.Rank, Routers: g.Routers, Short: g.Short, Rest: float64(g.Rest) / 1000, RestTeams: g.RestTeams, Teams: make(map[string]float64)}
		for i, ms := range g.Millis {
			if i < len(m.Teams) && ms != 0 {
				out.Teams[m.Teams[i]] = float64(ms) / 1000
			}
		}
		*s = append(*s, out)
	}
	return nil
}

const (
	// groupBytes bounds the bytes of a group without its service's name and the sums of its teams.
	groupBytes = 70
	// nearLevel is the part of the even share from which a team is listed in totals. A team below half of it
	// is below the level at up to twice what fits, and counts with the mean of such teams.
	nearLevel = 0.5
)

// Trim returns the sums in the bounds of a message of so many bytes. The teams with the largest sums, compared
// with the even share in their group, are listed. The others become part of the rest.
func (s Sums) Trim(maxBytes int) Sums { return s.trim(maxBytes, 0) }

// TrimTotal is Trim for the sums of all routers, which lists only teams near the even share or above it. Parts
// of the fleet list all teams that fit: a team that reaches all routers is small at each of them, and would
// lose to one that reaches a single router.
func (s Sums) TrimTotal(maxBytes int) Sums { return s.trim(maxBytes, nearLevel) }

func (s Sums) trim(maxBytes int, minShare float64) Sums {
	if len(s) == 0 {
		return nil
	}
	out := slices.Clone(s)
	slices.SortFunc(out, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	left, fit := maxBytes-len(`{"t":[],"g":[]}`), 0
	for _, g := range out {
		size := groupBytes + quotedBytes(g.Service)
		if fit == maxReportedGroups || size > left {
			break
		}
		left -= size
		fit++
	}
	out = out[:fit]
	listed := listedTeams(out, left, minShare)
	for i := range out {
		out[i] = out[i].keep(listed)
	}
	return out
}

// listedTeams returns the teams to list: those with the largest share in any of the groups, as far as they fit.
func listedTeams(groups []Group, left int, minShare float64) map[string]struct{} {
	shares := make(map[string]float64)
	for _, g := range groups {
		even := g.total() / float64(max(len(g.Teams)+g.RestTeams, 1))
		for team, sum := range g.Teams {
			shares[team] = max(shares[team], sum/max(even, minSum))
		}
	}
	names := slices.SortedFunc(maps.Keys(shares), func(a, b string) int {
		return cmp.Or(cmp.Compare(shares[b], shares[a]), cmp.Compare(a, b))
	})
	listed := make(map[string]struct{})
	for _, team := range names {
		size := quotedBytes(team) + 1
		for _, g := range groups {
			size += len(strconv.FormatInt(millis(g.Teams[team]), 10)) + 1
		}
		if shares[team] < minShare || len(listed) == maxReportedTeams || size > left {
			break
		}
		left -= size
		listed[team] = struct{}{}
	}
	return listed
}

// quotedBytes returns the bytes of a name as a JSON string.
func quotedBytes(name string) int {
	text, _ := json.Marshal(name) // a string can't fail
	return len(text)
}

// keep returns the group with only the given teams listed.
func (g Group) keep(listed map[string]struct{}) Group {
	teams := make(map[string]float64, len(listed))
	for team, sum := range g.Teams {
		if _, keep := listed[team]; keep {
			teams[team] = sum
			continue
		}
		g.Rest += sum
		g.RestTeams++
	}
	g.Teams = teams
	return g
}
