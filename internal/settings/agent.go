package settings

import (
	"time"

	"coveferry/internal/sched/tiered"
	"coveferry/internal/units"
)

// Agent holds the settings of an agent.
type Agent struct {
	Process
	// Endpoint is the name of the agent's endpoint in the bundle.
	Endpoint  Name      `json:"endpoint" jsonc:"required"`
	Engine    Engine    `json:"engine" jsonc:"required"`
	Scheduler Scheduler `json:"scheduler"`
	Shutdown  Shutdown  `json:"shutdown"`
}

// Engine describes the back end of the agent and its capabilities.
type Engine struct {
	// URL is the base URL of the engine.
	URL  URL        `json:"url" jsonc:"required"`
	Kind EngineKind `json:"kind"`
	// Fenced states that the engine rejects orders with an outdated fencing number.
	Fenced bool `json:"fenced"`
	// Priorities states that it schedules requests by their stated priority.
	Priorities bool `json:"priorities"`
	// Resume states that it can suspend a request and resume it later.
	Resume bool `json:"resume"`
}

// Scheduler configures how an agent orders its queue. All fields but Policy apply to the
// tiered policy only.
type Scheduler struct {
	Policy SchedulerPolicy `json:"policy"`
	// Preempt allows a request to preempt one of a lower tier, at an engine that can resume
	// requests.
	Preempt bool `json:"preempt"`
	// MaxPreemptions is the maximum number of preemptions of one request.
	MaxPreemptions int `json:"max_preemptions"`
	// ReserveShare is the share of the engine's time that is reserved for starving classes.
	ReserveShare float64 `json:"reserve_share"`
	// ReserveAfter is the time without service after which a class may use the reserve.
	ReserveAfter units.Duration `json:"reserve_after"`
	// RefuseLateFirstToken also refuses requests that are expected to miss their first-token
	// target but to meet their deadline.
	RefuseLateFirstToken bool `json:"refuse_late_first_token"`
}

// Shutdown bounds a planned shutdown.
type Shutdown struct {
	// StreamsGrace is how long open responses may continue.
	StreamsGrace units.Duration `json:"streams_grace"`
}

// Limits of an agent's settings.
const (
	maxPreemptions  = 100
	minReserveShare = 0.001 // 0 would let classes starve
	maxReserveShare = 0.5
	minReserveAfter = units.Duration(10 * time.Millisecond)
	maxReserveAfter = units.Duration(time.Hour)
)

// DefaultAgent returns the settings of an agent whose file has only the required keys.
func DefaultAgent() Agent {
	return Agent{
		Process:   defaultProcess(RoleAgent),
		Engine:    Engine{Kind: KindEngine},
		Scheduler: defaultScheduler(),
		Shutdown:  Shutdown{StreamsGrace: defaultStreamsGrace},
	}
}

func defaultScheduler() Scheduler {
	return Scheduler{
		Policy:         SchedulerTiered,
		Preempt:        true,
		MaxPreemptions: tiered.DefaultMaxPreemptions,
		ReserveShare:   tiered.DefaultReserveShare,
		ReserveAfter:   units.Duration(tiered.DefaultReserveAfter),
	}
}

func (a *Agent) role() Role { return RoleAgent }

func (a *Agent) checks() []checkResult {
	results := a.Process.checks()
	results = append(results, a.Engine.checks()...)
	results = append(results, a.Scheduler.checks()...)
	return append(results, a.Shutdown.checks()...)
}

func (e Engine) checks() []checkResult {
	const onlyEngines = `must be false for kind "service"; only an engine can do that`
	isEngine := e.Kind == KindEngine
	return []checkResult{
		condition("engine.fenced", isEngine || !e.Fenced, onlyEngines),
		condition("engine.priorities", isEngine || !e.Priorities, onlyEngines),
		condition("engine.resume", isEngine || !e.Resume, onlyEngines),
	}
}

func (s Scheduler) checks() []checkResult {
	return []checkResult{
		between("scheduler.max_preemptions", s.MaxPreemptions, 1, maxPreemptions),
		between("scheduler.reserve_share", s.ReserveShare, minReserveShare, maxReserveShare),
		between("scheduler.reserve_after", s.ReserveAfter, minReserveAfter, maxReserveAfter),
	}
}

func (s Shutdown) checks() []checkResult {
	return []checkResult{between("shutdown.streams_grace", s.StreamsGrace, minStreamsGrace, maxGrace)}
}
