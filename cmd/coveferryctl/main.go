// Command coveferryctl is the operators' command-line tool.
package main

import (
	"coveferry/internal/cli"
	"coveferry/internal/cli/benchcmd"
	"coveferry/internal/cli/bundlecmd"
	"coveferry/internal/cli/capacitycmd"
	"coveferry/internal/cli/examplecmd"
	"coveferry/internal/cli/keyscmd"
	"coveferry/internal/cli/memberscmd"
	"coveferry/internal/cli/pathcmd"
	"coveferry/internal/cli/rolloutcmd"
	"coveferry/internal/cli/slocmd"
	"coveferry/internal/cli/slopescmd"
	"coveferry/internal/cli/soakcmd"
	"coveferry/internal/cli/standincmd"
)

type program struct {
	Bundle     bundlecmd.Cmd   `cmd:"" help:"Write, check, sign, compare and explain bundles."`
	Keys       keyscmd.Cmd     `cmd:"" help:"Make and show the keys by which processes know each other."`
	SLO        slocmd.Cmd      `cmd:"" name:"slo" help:"Show how fast each class and tier uses up its error budget."`
	Members    memberscmd.Cmd  `cmd:"" help:"Show what routers make of the endpoints: live, suspect, leaving, gone."`
	Bench      benchGroup      `cmd:"" help:"Measure policies under load and faults, on this machine."`
	Capacity   capacitycmd.Cmd `cmd:"" help:"Work out what each role costs at a size, from measured slopes."`
	Example    examplecmd.Cmd  `cmd:"" help:"Write a deployment for this machine: keys, signed bundle, settings."`
	Soak       soakcmd.Cmd     `cmd:"" help:"Run the programs under faults from outside and check the promises to callers."`
	Standin    standincmd.Cmd  `cmd:"" help:"Run stand-ins of engines and services."`
	Completion cli.Completion  `cmd:"" help:"Print what a shell needs to complete commands."`
}

// benchGroup adds the other measurements to the scenarios.
type benchGroup struct {
	benchcmd.Cmd
	Path        pathcmd.Cmd           `cmd:"" help:"Measure what router and agent add to a direct call: latency, processor time, memory a stream."`
	Rollout     rolloutcmd.RolloutCmd `cmd:"" help:"Measure how a bundle comes into force on many processes."`
	StaleConfig rolloutcmd.StaleCmd   `cmd:"" name:"stale-config" help:"Measure the same with a configuration service that is stale for some and dead for others."`
	Slopes      slopescmd.Cmd         `cmd:"" help:"Measure the slopes that the capacity page is worked out from."`
}

func main() {
	cli.Main("coveferryctl", "The operators' tool of coveferry, a router for language-model traffic with service levels.", &program{})
}
