package path

import (
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/identity"
	"coveferry/internal/units"
)

// Launch starts a process that runs ServePart on its ends of two pipes. Closing
// requests ends the process; wait returns its exit error.
type Launch func() (requests io.WriteCloser, answers io.Reader, wait func() error, err error)

// Exec returns a Launch that runs this executable with the given arguments.
func Exec(args ...string) Launch {
	return func() (io.WriteCloser, io.Reader, func() error, error) {
		self, err := os.Executable()
		if err != nil {
			return nil, nil, nil, errors.Wrap(err, "path: locate this executable")
		}
		cmd := exec.Command(self, args...)
		cmd.Stderr = os.Stderr
		in, errIn := cmd.StdinPipe()
		out, errOut := cmd.StdoutPipe()
		if err := errors.CombineErrors(errIn, errOut); err != nil {
			return nil, nil, nil, errors.Wrap(err, "path: create a part's pipes")
		}
		return in, out, cmd.Wait, errors.Wrap(cmd.Start(), "path: start a part")
	}
}

// partProcess is the measuring process's handle of a part.
type partProcess struct {
	address  string
	requests io.WriteCloser
	wait     func() error
	enc      *json.Encoder
	dec      *json.Decoder
}

func startPart(launch Launch, pc partConfig) (*partProcess, error) {
	requests, answers, wait, err := launch()
	if err != nil {
		return nil, err
	}
	p := &partProcess{requests: requests, wait: wait, enc: json.NewEncoder(requests), dec: json.NewDecoder(answers)}
	var r startReply
	err = p.enc.Encode(pc)
	if err == nil {
		err = p.dec.Decode(&r)
	}
	if err != nil {
		// The exit error is more informative than the pipe error.
		return nil, errors.Wrapf(errors.CombineErrors(p.stop(), err), "path: configure the %s", pc.Role)
	}
	p.address = r.Address
	return p, nil
}

func (p *partProcess) usage(collectGarbage bool) (u Usage, err error) {
	if err = p.enc.Encode(usageRequest{CollectGarbage: collectGarbage}); err == nil {
		err = p.dec.Decode(&u)
	}
	return u, errors.Wrap(err, "path: get a part's usage")
}

func (p *partProcess) stop() error {
	err := p.requests.Close()
	return errors.CombineErrors(err, p.wait())
}

// partProcesses are an engine, its agent and a router, each in its own process.
type partProcesses struct {
	engine, agent, router *partProcess
	// profile is the path prefix of the files with their profiles.
	profile string
}

func startParts(launch Launch, tokenTime time.Duration, profile string) (*partProcesses, error) {
	p := &partProcesses{profile: profile}
	if err := p.start(launch, tokenTime); err != nil {
		return nil, errors.CombineErrors(err, p.stop())
	}
	return p, nil
}

func (p *partProcesses) start(launch Launch, tokenTime time.Duration) (err error) {
	authority, err := identity.Ephemeral()
	if err != nil {
		return errors.Wrap(err, "path: create the certificate authority")
	}
	p.engine, err = p.startPart(launch, partConfig{Role: roleEngine, TokenTime: units.Duration(tokenTime)})
	if err != nil {
		return err
	}
	p.agent, err = p.startWithIdentity(launch, authority, identity.RoleAgent, partConfig{Role: roleAgent, Next: p.directURL()})
	if err != nil {
		return err
	}
	p.router, err = p.startWithIdentity(launch, authority, identity.RoleRouter, partConfig{Role: roleRouter, Next: p.agent.address})
	return err
}

func (p *partProcesses) startPart(launch Launch, pc partConfig) (*partProcess, error) {
	if p.profile != "" {
		pc.Profile = p.profile + "-" + pc.Role
	}
	return startPart(launch, pc)
}

func (p *partProcesses) startWithIdentity(launch Launch, a *identity.Authority, role identity.Role, pc partConfig) (*partProcess, error) {
	pair, err := a.Issue(role, endpoint, certValidity)
	if err != nil {
		return nil, errors.Wrapf(err, "path: certificate of the %s", pc.Role)
	}
	pc.CA, pc.Cert, pc.Key = a.CertPEM(), pair.CertPEM, pair.KeyPEM
	return p.startPart(launch, pc)
}

func (p *partProcesses) directURL() string { return "http://" + p.engine.address }
func (p *partProcesses) routedURL() string { return "http://" + p.router.address }

// stop stops the parts, the router first.
func (p *partProcesses) stop() error {
	var errs error
	for _, part := range []*partProcess{p.router, p.agent, p.engine} {
		if part != nil {
			errs = errors.CombineErrors(errs, part.stop())
		}
	}
	return errs
}

// partUsage is the usage of all parts.
type partUsage struct{ engine, agent, router Usage }

func (p *partProcesses) usage(collectGarbage bool) (u partUsage, err error) {
	for _, part := range []struct {
		of    *partProcess
		usage *Usage
	}{{p.engine, &u.engine}, {p.agent, &u.agent}, {p.router, &u.router}} {
		if *part.usage, err = part.of.usage(collectGarbage); err != nil {
			return u, err
		}
	}
	return u, nil
}

// minus returns the usage since an earlier reading.
func (u partUsage) minus(t partUsage) partUsage {
	return partUsage{u.engine.minus(t.engine), u.agent.minus(t.agent), u.router.minus(t.router)}
}

func (u partUsage) plus(t partUsage) partUsage {
	return partUsage{u.engine.plus(t.engine), u.agent.plus(t.agent), u.router.plus(t.router)}
}

func (u Usage) minus(v Usage) Usage { return Usage{u.CPU - v.CPU, u.Memory - v.Memory} }
func (u Usage) plus(v Usage) Usage  { return Usage{u.CPU + v.CPU, u.Memory + v.Memory} }
