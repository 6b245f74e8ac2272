// Package logging creates the loggers of all processes from their settings and
// defines the names of common log fields.
package logging

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"coveferry/internal/settings"
)

// Common log fields. Other fields are named where they are logged.
const (
	FieldRole     = "role"     // router, agent, standalone
	FieldVM       = "vm"       // of the process
	FieldEndpoint = "endpoint" // of the agent
	FieldRequest  = "request"  // id, as sent to callers
	FieldTeam     = "team"
	FieldIdentity = "identity" // of a request, derived from its content
	FieldPart     = "part"     // ID of a part of prompts
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
	FieldSampled  = "sampled" // on lines that are subject to sampling
)

// timeFormat has milliseconds, to order the lines of several processes.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger that writes to w with the level and format of the settings.
func New(s settings.Log, w io.Writer) zerolog.Logger {
	if s.Format == settings.FormatConsole {
		w = zerolog.ConsoleWriter{Out: w}
	}
	level, err := zerolog.ParseLevel(string(s.Level))
	if err != nil { // excluded by the validation of the settings
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}

// queuedLines is the queue size of loggers from NewBounded.
const queuedLines = 512

// NewBounded returns a logger that never blocks. Lines are queued; if the queue is
// full, the oldest are dropped, and a log line reports their number.
func NewBounded(w io.Writer) zerolog.Logger {
	plain := zerolog.New(w).With().Timestamp().Logger()
	queue := diode.NewWriter(w, queuedLines, 0, func(dropped int) {
		plain.Warn().Int("lines", dropped).Msg("log lines were dropped")
	})
	return zerolog.New(queue).Level(zerolog.InfoLevel).With().Timestamp().Logger()
}

// Request holds the log fields of a request. Empty fields are omitted.
type Request struct {
	ID    string
	Team  string
	Class string
	Tier  string
}

// ForRequest returns a logger with the fields of a request. To pass it in a
// context, use its WithContext and zerolog.Ctx.
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

// Sampling of lines that may be logged for every request: the first SampleBurst
// lines of each period, then one in SampleOneIn, so that an overload stays visible.
const (
	SampleBurst  = 20
	SamplePeriod = time.Second
	SampleOneIn  = 100
)

// Sampled returns a logger for lines that may be logged for every request, such as
// refusals under overload. Its lines have FieldSampled. Warnings and errors are
// never dropped.
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
