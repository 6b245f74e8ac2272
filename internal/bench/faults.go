package bench

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bench/client"
	"coveferry/internal/bench/scenario"
)

// ErrUnsupported marks a scenario with actions that the fleet doesn't support.
var ErrUnsupported = errors.New("the fleet doesn't support this scenario")

func (e experiment) events() []scenario.Event {
	return e.scenario.Events(e.opt.Duration, e.shape.Engines)
}

// checkSupport checks that the fleet supports the actions of all events.
func checkSupport(f Fleet, events []scenario.Event) error {
	_, rolls := f.(Roller)
	_, cuts := f.(Partitioner)
	for _, ev := range events {
		missing := ev.Action == scenario.ActionRoll && !rolls ||
			ev.Action == scenario.ActionCut && !cuts
		if missing {
			return errors.Mark(errors.Newf("the fleet doesn't support action %q", ev.Action), ErrUnsupported)
		}
	}
	return nil
}

// injectFaults applies the events at their times, until ctx ends. It resumes all
// engines at the end, so that the fleet can stop.
func (r *Runner) injectFaults(ctx context.Context, f Fleet, events []scenario.Event, start time.Time) {
	defer resumeAll(f)
	replaced := 0
	hit := make(map[int]Engine)
	for _, ev := range events {
		if !client.WaitUntil(ctx, start.Add(ev.At)) {
			return
		}
		r.Log.Debug().Str("action", string(ev.Action)).Int("engine", ev.Engine).Msg("fault")
		if ev.Action != scenario.ActionRoll {
			applyEvent(f, ev, hit)
			continue
		}
		if err := f.(Roller).Roll(ctx, replaced); err != nil {
			r.Log.Warn().Err(err).Int("process", replaced).Msg("replacing a process failed")
		}
		replaced++
	}
}

// applyEvent applies one event. An event that undoes a fault goes to the engine
// that the fault hit, even if another engine has replaced it since.
func applyEvent(f Fleet, ev scenario.Event, hit map[int]Engine) {
	e := f.Engines()[ev.Engine]
	if original, ok := hit[ev.Engine]; ok && ev.Undoes() {
		e = original
	}
	hit[ev.Engine] = e
	switch ev.Action {
	case scenario.ActionSlow:
		e.SetSpeed(scenario.SlowSpeed)
	case scenario.ActionCrash:
		e.Crash()
	case scenario.ActionRestart:
		e.Restart()
	case scenario.ActionPause:
		e.Pause()
	case scenario.ActionResume:
		e.Resume()
	case scenario.ActionCut:
		f.(Partitioner).Cut(ev.Engine)
	case scenario.ActionHeal:
		f.(Partitioner).Heal()
	}
}

func resumeAll(f Fleet) {
	for _, e := range f.Engines() {
		e.Resume()
	}
}
