package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"coveferry/platform/platformtest"
)

//go:embed names.json
var namesText []byte

//go:embed settings.conf
var settingsText string

//go:embed config.json
var configText []byte

// names are the platform's names of headers, paths, keys and variables.
var names = func() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err)
	}
	return m
}()

const (
	daemon = "target/coveferryd"
	// startTimeout bounds the time until a router accepts new connections.
	startTimeout = 10 * time.Second
	// maxSeeds is the number of seeds that the settings name at most.
	maxSeeds = 3
	host     = "registry.example"
	keptKey  = "keykeptkeptkeptkept1"
	takenKey = "keytakentakentaken2"
)

var zones = []string{"upper-hill", "westlands", "industrial-area"}

// rig holds the processes and stand-ins of a case.
type rig struct {
	began   time.Time
	dir     string
	trouble bool
	store   *platformtest.Store
	gate    *storeGate
	storeAt string
	routers []*router
	seeds   []string
	mu      sync.Mutex
	out     *os.File
	runs    []execution
	closers []func()
}

type router struct {
	name, front, ready, control, metrics string
	settings                             string
	cmd                                  *exec.Cmd
	log                                  *os.File
	done                                 chan struct{}
}

// execution is a run of a request at a replica.
type execution struct {
	id, tenant, service, replica string
	at                           time.Time
}

func newRig(record string) (*rig, error) {
	r := &rig{began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: platformtest.NewStore()}
	if _, err := os.Stat(daemon); err != nil {
		return nil, err
	}
	var err error
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	r.closers = append(r.closers, func() {
		_ = os.RemoveAll(r.dir)
	})
	if r.out, err = os.Create(record); err != nil {
		return nil, err
	}
	r.gate = &storeGate{store: r.store, changed: make(chan struct{})}
	r.storeAt, err = r.serve(r.gate)
	r.note("trouble: %t", r.trouble)
	return r, err
}

// note writes a line with the time since the start to the record.
func (r *rig) note(format string, v ...any) {
	r.noteAt(time.Now(), format, v...)
}

func (r *rig) noteAt(at time.Time, format string, v ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, v...))
}

// say writes a line to the record and to standard output.
func (r *rig) say(format string, v ...any) {
	fmt.Printf(format+"\n", v...)
	r.note(format, v...)
}

// noteCall writes what a client sent and got.
func (r *rig) noteCall(c *call) {
	r.noteAt(c.sent, "sent      %s to %s, %s %s with key %s", c.id, c.router, c.method, c.path, c.key)
	r.noteAt(c.end, "answered  %s: %s", c.id, c.describe())
}

// serve serves a handler on a free port of loopback until the rig is closed.
func (r *rig) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	r.closers = append(r.closers, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// close ends all processes of the rig.
func (r *rig) close() {
	for _, rt := range r.routers {
		rt.kill()
	}
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
	_ = r.out.Close()
}

// freePorts returns free loopback addresses. They lie outside of 127.0.0.1, so that no outgoing
// connection takes one of the ports meanwhile.
func freePorts(ip string, n int) ([]string, error) {
	var free []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		free = append(free, l.Addr().String())
	}
	return free, nil
}

// config returns the operator's configuration, which the case may change before it is put.
func config() map[string]any {
	var c map[string]any
	if err := json.Unmarshal(configText, &c); err != nil {
		panic(err)
	}
	return c
}

// withoutKey removes a key from all tenants of a configuration.
func withoutKey(c map[string]any, version int, key string) map[string]any {
	var text bytes.Buffer
	_ = json.NewEncoder(&text).Encode(c)
	changed := strings.ReplaceAll(text.String(), `,"`+key+`"`, "")
	var out map[string]any
	if err := json.Unmarshal([]byte(changed), &out); err != nil {
		panic(err)
	}
	out["version"] = version
	return out
}

// putConfig writes a configuration and returns when the store confirmed it.
func (r *rig) putConfig(c map[string]any) time.Time {
	r.store.Put(names["configKey"], c)
	return time.Now()
}

// planRouters takes addresses for routers, one in each zone in turn.
func (r *rig) planRouters(n int) error {
	for i := range n {
		ip := fmt.Sprintf("127.0.%d.1", 10+i)
		free, err := freePorts(ip, 4)
		if err != nil {
			return err
		}
		r.routers = append(r.routers, &router{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), front: free[0], ready: free[1], control: free[2], metrics: free[3]})
		if len(r.seeds) < maxSeeds {
			r.seeds = append(r.seeds, free[2])
		}
	}
	return nil
}

// startRouters starts routers as the deploy file does.
func (r *rig) startRouters(n int) error {
	if err := r.planRouters(n); err != nil {
		return err
	}
	for i, rt := range r.routers {
		if err := r.startRouter(i, rt); err != nil {
			return err
		}
	}
	for _, rt := range r.routers {
		if err := rt.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) startRouter(i int, rt *router) error {
	ip, _, _ := net.SplitHostPort(rt.front)
	text := settingsText
	for name, value := range map[string]string{
		"name": rt.name, "zone": zones[i%len(zones)], "ip": ip, "front": rt.front, "ready": rt.ready, "control": rt.control,
		"seeds": strings.Join(r.seeds, ","), "store": r.storeAt,
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	rt.settings = filepath.Join(r.dir, rt.name+".conf")
	if err := os.WriteFile(rt.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, rt.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The command of the deploy file, but for the port, which is a free one.
	_, port, _ := net.SplitHostPort(rt.metrics)
	rt.cmd = exec.Command(daemon, "direct", "--metrics-port", port)
	rt.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settingsVariable"] + "=" + rt.settings}
	rt.cmd.Stdout, rt.cmd.Stderr = log, log
	rt.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := rt.cmd.Start(); err != nil {
		return err
	}
	rt.log, rt.done = log, make(chan struct{})
	go func() {
		_ = rt.cmd.Wait()
		_ = log.Close()
		close(rt.done)
	}()
	return nil
}

func (rt *router) kill() {
	if rt.cmd == nil || rt.cmd.Process == nil {
		return
	}
	_ = rt.cmd.Process.Signal(syscall.SIGCONT)
	_ = rt.cmd.Process.Kill()
	<-rt.done
}

// awaitReady waits until the router reports itself ready.
func (rt *router) awaitReady() error {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + rt.ready + names["readyPath"])
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %s", rt.name, startTimeout)
}
