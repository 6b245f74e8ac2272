package main

import (
	"bytes"
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

// names holds what stands on the wire; a test of the repository forbids these names in Go files.
var names map[string]string

// rig is a small deployment on loopback addresses: the platform's store and the routers.
type rig struct {
	data    string // folder of the data files
	temp    string
	store   *platformtest.Store
	storeAt string
	routers []*router
	record  *record
}

// router is one process of the project.
type router struct {
	name, zone, front, ready, control, settings, metrics string
	storeAt                                              string // the address by which it reaches the store
	cmd                                                  *exec.Cmd
	done                                                 chan struct{}
}

// record writes what was seen to record.txt, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// result writes a line both to the record and to standard output.
func (r *record) result(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// The routers' and replicas' ports come from a block that this process holds by a listener on its first port, in the
// way of the project's soak, so that several programs can run at once. They are below the kernel's ephemeral ports.
const (
	firstPort  = 12000
	blockPorts = 400
	blocks     = 50
)

var ports struct {
	sync.Mutex
	held net.Listener
	next int
}

// freeAddress returns an address that nothing listens on, each once.
func freeAddress() string {
	ports.Lock()
	defer ports.Unlock()
	for i := 0; ports.held == nil; i++ {
		if i == blocks {
			fail("other programs hold all blocks of ports")
		}
		first := firstPort + (os.Getpid()+i)%blocks*blockPorts
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			ports.held, ports.next = l, first+1
		}
	}
	for {
		if ports.next%blockPorts == firstPort%blockPorts {
			fail("no port of the block is free")
		}
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// fail ends the program with the exit code of a case that couldn't run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case couldn't run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

var cleanups []func()

func cleanUp() {
	for _, f := range cleanups {
		f()
	}
	cleanups = nil
}

func readNames(data string) {
	text, err := os.ReadFile(filepath.Join(data, "names.json"))
	if err == nil {
		err = json.Unmarshal(text, &names)
	}
	if err != nil {
		fail("read the names: %v", err)
	}
}

// newRig starts the store, with the configuration of config.json.
func newRig(data string, rec *record) *rig {
	temp, err := os.MkdirTemp("", "review-rig2-")
	if err != nil {
		fail("%v", err)
	}
	cleanups = append(cleanups, func() { _ = os.RemoveAll(temp) })
	r := &rig{data: data, temp: temp, store: platformtest.NewStore(), record: rec}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	r.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, r.store) }()
	r.putConfig(nil)
	return r
}

// putConfig writes the configuration, changed by edit.
func (r *rig) putConfig(edit func(map[string]any)) {
	text, err := os.ReadFile(filepath.Join(r.data, "config.json"))
	if err != nil {
		fail("%v", err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		fail("%v", err)
	}
	if edit != nil {
		edit(config)
	}
	r.store.Put(names["config_key"], config)
}

// list writes a replica's entry.
func (r *rig) list(id, service, address, zone, version, state string, slots int, born time.Time) {
	r.store.Put(names["replica_prefix"]+id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": version, "slots": slots, "state": state,
		"cold-left-ms": 0, "sequence": 1, "born": born.UnixMilli(),
	})
}

func (r *rig) unlist(id string) { r.store.Delete(names["replica_prefix"] + id) }

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startRouters starts so many routers, each in a zone of its own, and waits until all are ready.
func (r *rig) startRouters(n int) {
	var seeds []string
	for i := range n {
		x := &router{
			name: fmt.Sprintf("front-%s-1", zones[i]), zone: zones[i], storeAt: r.storeAt,
			front: freeAddress(), ready: freeAddress(), control: freeAddress(), metrics: freeAddress(),
		}
		seeds = append(seeds, x.control)
		r.routers = append(r.routers, x)
	}
	for _, x := range r.routers {
		r.writeSettings(x, seeds)
		r.startRouter(x)
	}
	for _, x := range r.routers {
		x.awaitReady(10 * time.Second)
	}
	r.record.printf("%d routers are ready", n)
}

func (r *rig) writeSettings(x *router, seeds []string) {
	text, err := os.ReadFile(filepath.Join(r.data, "settings.conf"))
	if err != nil {
		fail("%v", err)
	}
	s := strings.NewReplacer("{{name}}", x.name, "{{zone}}", x.zone, "{{front}}", x.front, "{{ready}}", x.ready,
		"{{control}}", x.control, "{{seeds}}", strings.Join(seeds, ","), "{{store}}", x.storeAt).Replace(string(text))
	x.settings = filepath.Join(r.temp, x.name+".conf")
	if err := os.WriteFile(x.settings, []byte(s), 0o600); err != nil {
		fail("%v", err)
	}
}

// startRouter starts a router with the command of the deploy file.
func (r *rig) startRouter(x *router) {
	_, metricsPort, _ := net.SplitHostPort(x.metrics)
	x.cmd = exec.Command("target/coveferryd", "direct", "--metrics-port", metricsPort)
	x.cmd.Env = []string{names["settings_variable"] + "=" + x.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(logFolder(r.temp), x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	x.cmd.Stdout, x.cmd.Stderr = log, log
	if err := x.cmd.Start(); err != nil {
		fail("start a router: %v", err)
	}
	x.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); _ = log.Close(); close(done) }(x.cmd, x.done)
	cleanups = append(cleanups, x.kill)
}

// logFolder is where the routers' logs go: REVIEW_LOGS if it is set.
func logFolder(temp string) string {
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		return dir
	}
	return temp
}

func (x *router) signal(sig syscall.Signal) { _ = x.cmd.Process.Signal(sig) }

func (x *router) kill() {
	x.signal(syscall.SIGKILL)
	x.signal(syscall.SIGCONT)
	<-x.done
}

func (x *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + x.ready + names["ready_path"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (x *router) awaitReady(within time.Duration) {
	for until := time.Now().Add(within); !x.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			fail("%s isn't ready", x.name)
		}
	}
}

// call describes a client's request.
type call struct {
	method, path, id, key string
	timeLeft              time.Duration
	body                  []byte
	prompt                bool // it states a prompt
	header                map[string]string
}

// text returns the request as the client sends it.
func (c call) text() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: agency.example\r\n%s: %s\r\n%s: %d\r\n", c.method, c.path, names["id"], c.id, names["time_left"], c.timeLeft.Milliseconds())
	fmt.Fprintf(&b, "Authorization: Token %s\r\n", c.key)
	if c.prompt {
		fmt.Fprintf(&b, "%s: m\r\n%s: 600,400\r\n%s: 5c1e07a2:300,%x:300\r\n", names["model"], names["tokens"], names["parts"], fnv(c.id))
	}
	for name, value := range c.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if len(c.body) > 0 || c.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	b.Write(c.body)
	return b.Bytes()
}

// fnv returns a number for an ID, for the part of a prompt that belongs to its request.
func fnv(id string) uint32 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return h
}

// key is the API key of config.json.
const key = "n2ctnfzs989anu6wsjnb"
