// Package logging makes the loggers of all processes from their settings and
// lists the names of the fields that their lines share.
package logging

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"coveferry/internal/settings"
)

// Fields that lines share. Others are named where they are logged.
const (
	FieldRole     = "role"     // router, agent, standalone
	FieldVM       = "vm"       // of the process
	FieldEndpoint = "endpoint" // of the agent
	FieldRequest  = "request"  // id, as callers get it
	FieldTeam     = "team"
	FieldIdentity = "identity" // of a request by its content, the same each time it comes
	FieldClass    = "class"
	FieldTier     = "tier"    // by name
	FieldBundle   = "bundle"  // version in force
	FieldEpoch    = "epoch"   // number of an attempt of a request
	FieldResult   = "result"  // how a request or an attempt ended
	FieldTokens   = "tokens"  // delivered
	FieldTook     = "took"    // from arrival to end
	FieldListen   = "listen"  // address of a listener
	FieldPeer     = "peer"    // URI of the process at the other end
	FieldReason   = "reason"  // of a refusal
	FieldSampled  = "sampled" // on lines that may stand for others left out
)

// timeFormat tells lines of several processes apart that follow from each other.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger that writes to w by the settings.
func New(s settings.Log, w io.Writer) zerolog.Logger {
	if s.Format == settings.FormatConsole {
		w = zerolog.ConsoleWriter{Out: w}
	}
	level, err := zerolog.ParseLevel(string(s.Level))
	if err != nil { // the settings' check rules this out
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}

// queuedLines bounds the lines that wait to be written by NewBounded.
const queuedLines = 512

// NewBounded returns a logger whose lines never keep their writer waiting: they
// queue, and where the queue is full the oldest are dropped, which a line counts.
func NewBounded(w io.Writer) zerolog.Logger {
	plain := zerolog.New(w).With().Timestamp().Logger()
	queue := diode.NewWriter(w, queuedLines, 0, func(dropped int) {
		plain.Warn().Int("lines", dropped).Msg("log lines were dropped")
	})
	return zerolog.New(queue).Level(zerolog.InfoLevel).With().Timestamp().Logger()
}

// Request names a request on all lines about it. Empty members are left out.
type Request struct {
	ID    string
	Team  string
	Class string
	Tier  string
}

// ForRequest returns a logger whose lines carry the request's fields. To hand
// it on with a context use its WithContext and zerolog.Ctx.
func ForRequest(log zerolog.Logger, r Request) zerolog.Logger {
	ctx := log.With()
	for _, f := range []struct{ name, value string }{
		{FieldRequest, r.ID}, {FieldTeam, r.Team}, {FieldClass, r.Class}, {FieldTier, r.Tier},
	} {
		if f.value != "" {
			ctx = ctx.Str(f.name, f.value)
		}
	}
	return ctx.Logger()
}

// How lines that may come with every request are sampled: the first of each
// second pass, then one in many, so that an overload stays visible.
const (
	SampleBurst  = 20
	SamplePeriod = time.Second
	SampleOneIn  = 100
)

// Sampled returns a logger for lines that may come with every request, such as
// refusals under overload. Its lines carry FieldSampled. Warnings and errors
// are never left out.
func Sampled(log zerolog.Logger) zerolog.Logger {
	burst := &zerolog.BurstSampler{
		Burst:       SampleBurst,
		Period:      SamplePeriod,
		NextSampler: &zerolog.BasicSampler{N: SampleOneIn},
	}
	log = log.With().Bool(FieldSampled, true).Logger()
	return log.Sample(zerolog.LevelSampler{
		TraceSampler: burst,
		DebugSampler: burst,
		InfoSampler:  burst,
	})
}
