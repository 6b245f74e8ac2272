// Package examplecmd holds `coveferryctl example`, which writes a deployment for one machine:
// keys, a signed bundle and the settings of every process.
package examplecmd

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"os"
	"path/filepath"
	"text/template"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
	"coveferry/internal/identity"
	"coveferry/internal/rollout"
	"coveferry/internal/settings"
)

// Constants of the example deployment.
const (
	callerKey     = "example-key"
	validity      = 365 * 24 * time.Hour
	routerPort    = 8081 // port of the first router; the others use the following ports
	agentPort     = 7411
	enginePort    = 8001
	controlOffset = 1000 // offset from a process's port to its control port
	metricsOffset = 2000 // offset to its metrics port
	configPort    = 8500
	// publishDir is the folder that the configuration service serves.
	publishDir   = "published"
	operatorName = "operator"
	domainCount  = 3
)

// Cmd writes the example.
type Cmd struct {
	Dir     string `arg:"" help:"Folder to write to; it must not exist."`
	Routers int    `default:"2" help:"Number of routers."`
	Agents  int    `default:"3" help:"Number of agents, each with a stand-in engine."`
}

// Help implements kong.HelpProvider.
func (*Cmd) Help() string {
	return `Writes keys, a signed bundle and the settings of routers and agents that run on
this machine's loopback interface, and prints the commands that start them.
docs/operations/running.md walks through it.`
}

// process holds a router's or agent's fields for the templates.
type process struct {
	Role                     settings.Role
	Name, FailureDomain      string
	Listen, Control, Metrics string
	Engine                   string // URL; empty for a router
	BundleKey                string
	ConfigService            string // URL
}

// deployment holds the fields of the bundle's template.
type deployment struct {
	Issued, Expires string
	Key, KeyHash    string
	Routers, Agents []process
}

// Run runs the command.
func (c *Cmd) Run(env *cli.Env) error {
	if err := os.Mkdir(c.Dir, 0o700); err != nil {
		return cli.BadInput(errors.Wrap(err, "the folder must be new"))
	}
	public, private, err := bundle.GenerateKey(rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make the signing key")
	}
	d := c.deployment(public.String())
	if err := c.writeBundle(d, private); err != nil {
		return err
	}
	if err := c.writeProcesses(d); err != nil {
		return err
	}
	return c.printCommands(env, d)
}

func (c *Cmd) deployment(bundleKey string) deployment {
	now := time.Now().UTC().Truncate(time.Second)
	d := deployment{
		Issued: now.Format(time.RFC3339), Expires: now.Add(validity).Format(time.RFC3339),
		Key: callerKey, KeyHash: bundle.HashKey(callerKey),
	}
	for i := range c.Routers {
		d.Routers = append(d.Routers, newProcess(settings.RoleRouter, "router", i, routerPort, bundleKey))
	}
	for i := range c.Agents {
		p := newProcess(settings.RoleAgent, "engine", i, agentPort, bundleKey)
		p.Engine = "http://" + address(enginePort+i)
		d.Agents = append(d.Agents, p)
	}
	return d
}

func newProcess(role settings.Role, name string, i, port int, bundleKey string) process {
	return process{
		Role:          role,
		Name:          fmt.Sprintf("%s-%d", name, i+1),
		FailureDomain: fmt.Sprintf("domain-%c", 'a'+i%domainCount),
		Listen:        address(port + i),
		Control:       address(port + i + controlOffset),
		Metrics:       address(port + i + metricsOffset),
		BundleKey:     bundleKey,
		ConfigService: "http://" + address(configPort),
	}
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (c *Cmd) writeBundle(d deployment, key bundle.PrivateKey) error {
	src, err := render(bundleTemplate, d)
	if err != nil {
		return err
	}
	sig, err := bundle.Sign("bundle.jsonc", src, key)
	if err != nil {
		return errors.Wrap(err, "sign the bundle")
	}
	keyText, err := key.MarshalText()
	if err != nil {
		return errors.Wrap(err, "write the signing key")
	}
	return firstError(
		c.write("bundle.jsonc", src),
		c.write("bundle.jsonc"+bundle.SignatureSuffix, sig),
		c.write("signing.key", keyText),
		c.publish(src, key),
	)
}

// publish writes the files that the stand-in of the configuration service serves.
func (c *Cmd) publish(src []byte, key bundle.PrivateKey) error {
	b, err := bundle.Parse("bundle.jsonc", src)
	if err != nil {
		return errors.Wrap(err, "split the bundle")
	}
	manifest, sections := bundle.Split(b)
	if err := os.MkdirAll(filepath.Join(c.Dir, publishDir, "sections"), 0o700); err != nil {
		return errors.Wrap(err, "create the folder for sections")
	}
	for digest, text := range sections {
		if err := c.write(filepath.Join(publishDir, rollout.KeySection(digest)), text); err != nil {
			return err
		}
	}
	text, sig := bundle.SignManifest(&manifest, key)
	return c.write(filepath.Join(publishDir, rollout.KeyManifest), bundle.EncodeSignedManifest(text, sig))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Cmd) writeProcesses(d deployment) error {
	authority, err := identity.NewAuthority(validity)
	if err != nil {
		return errors.Wrap(err, "make the authority")
	}
	if err := c.write("authority.crt", authority.CertPEM()); err != nil {
		return err
	}
	for _, p := range append(append([]process(nil), d.Routers...), d.Agents...) {
		if err := c.writeProcess(authority, p); err != nil {
			return err
		}
	}
	return c.writePair(authority, identity.RoleOperator, operatorName)
}

func (c *Cmd) writePair(authority *identity.Authority, role identity.Role, name string) error {
	pair, err := authority.Issue(role, name, validity-time.Hour)
	if err != nil {
		return errors.Wrapf(err, "issue the certificate of %s", name)
	}
	return firstError(c.write(name+".crt", pair.CertPEM), c.write(name+".key", pair.KeyPEM))
}

func (c *Cmd) writeProcess(authority *identity.Authority, p process) error {
	role := identity.RoleRouter
	if p.Role == settings.RoleAgent {
		role = identity.RoleAgent
	}
	text, err := render(settingsTemplate, p)
	if err != nil {
		return err
	}
	return firstError(c.write(p.Name+".jsonc", text), c.writePair(authority, role, p.Name))
}

// printCommands prints the commands that start the deployment.
func (c *Cmd) printCommands(env *cli.Env, d deployment) error {
	w := env.Stdout
	file := func(name string) string { return filepath.Join(c.Dir, name) }
	fmt.Fprintln(w, "Start each of these in a terminal of its own:")
	fmt.Fprintf(w, "  coveferryctl standin config-service --listen %s --dir %s\n", address(configPort), filepath.Join(c.Dir, publishDir))
	for _, p := range d.Agents {
		fmt.Fprintf(w, "  coveferryctl standin engine --listen %s\n", p.Engine[len("http://"):])
	}
	for _, p := range append(append([]process(nil), d.Agents...), d.Routers...) {
		fmt.Fprintf(w, "  coveferryd %s %s\n", p.Role, filepath.Join(c.Dir, p.Name+".jsonc"))
	}
	_, err := fmt.Fprintf(w, `Then ask any router:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"stand-in","stream":true,"messages":[{"role":"user","content":"Hello"}]}'
Watch which bundle is in force where, and roll the next one out:
  coveferryctl bundle rollout status --router %s --ca-file %s --cert-file %s --key-file %s --watch 1s
  coveferryctl bundle sign %s --key %s --split %s
`, d.Routers[0].Listen, callerKey, d.Routers[0].Control,
		file("authority.crt"), file(operatorName+".crt"), file(operatorName+".key"),
		file("bundle.jsonc"), file("signing.key"), file(publishDir))
	return err
}

func (c *Cmd) write(name string, content []byte) error {
	return errors.Wrap(os.WriteFile(filepath.Join(c.Dir, name), content, 0o600), "write the example")
}

func render(t *template.Template, data any) ([]byte, error) {
	var b bytes.Buffer
	err := t.Execute(&b, data)
	return b.Bytes(), errors.Wrap(err, "render the template")
}
