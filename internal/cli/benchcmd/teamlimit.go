package benchcmd

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/bench/teamlimit"
	"coveferry/internal/cli"
)

// TeamLimitCmd measures how accurately routers enforce a team's limit.
type TeamLimitCmd struct {
	JSON     bool          `name:"json" help:"Print the whole result as JSON."`
	Routers  []int         `default:"2,8,32" help:"Sizes of the fleets."`
	Limit    float64       `default:"200" help:"The team's limit, in requests a second."`
	Duration time.Duration `default:"10s" help:"How long load counts, for each size and way."`
}

// Run runs the command.
func (c *TeamLimitCmd) Run(env *cli.Env) error {
	o := teamlimit.Options{Routers: c.Routers, Limit: c.Limit, Duration: c.Duration}
	log := zerolog.New(zerolog.ConsoleWriter{Out: env.Stderr}).Level(zerolog.WarnLevel)
	result, err := teamlimit.Run(env.Ctx, o, log)
	switch {
	case errors.Is(err, teamlimit.ErrInvalid):
		return cli.BadInput(err)
	case err != nil:
		return err
	case c.JSON:
		return result.WriteJSON(env.Stdout)
	}
	return result.WriteTable(env.Stdout)
}
