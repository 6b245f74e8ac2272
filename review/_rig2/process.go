package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// replicaProcess serves a replica in a process of its own, which can be killed. Its answers have neither a length
// nor chunks: they end with their channel.
func replicaProcess(args []string) {
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	address := flags.String("listen", "", "")
	id := flags.String("id", "", "")
	pieces := flags.Int("pieces", 9, "")
	gap := flags.Duration("gap", 200*time.Millisecond, "")
	_ = flags.Parse(args)
	readNames(filepath.Join("review", "_rig2"))
	born := time.Now().UnixMilli()
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fail("%v", err)
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			fail("%v", err)
		}
		go serveUnframed(conn, *id, born, *pieces, *gap)
	}
}

func serveUnframed(conn net.Conn, id string, born int64, pieces int, gap time.Duration) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		said := fmt.Sprintf(`{"stage":"mixed","born":%d,"queued":0,"running":0,"runs":[]}`, born)
		switch expected := req.Header.Get(names["expect"]); {
		case expected != "" && expected != id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["id"], req.Header.Get(names["id"]), names["instance"], id)
		case req.URL.Path == "/health" || req.URL.Path == names["report_path"]:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0,0,64\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", names["instance"], id, names["load"], len(said), said)
		default:
			answerUnframed(conn, req, id, pieces, gap)
			return
		}
	}
}

// answerUnframed sends a stream that ends with its channel.
func answerUnframed(conn net.Conn, req *http.Request, id string, pieces int, gap time.Duration) {
	request := req.Header.Get(names["id"])
	fmt.Printf("begins %s\n", request)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n%s: %s\r\n%s: sealed-by-%s\r\n%s: 1,0,64\r\n\r\n",
		names["id"], request, names["seal"], id, names["load"])
	for n := 1; n <= pieces; n++ {
		time.Sleep(gap)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d of %s\n\n", n, n, request); err != nil {
			return
		}
		fmt.Printf("made %d of %d of %s\n", n, pieces, request)
	}
	fmt.Printf("ends %s\n", request)
}

// child is a replica in a process of its own.
type child struct {
	cmd  *exec.Cmd
	done chan struct{}
	// begun counts the requests that it has begun to run.
	begun atomic.Int64
}

func startReplica(rec *record, id, address string, pieces int, gap time.Duration) *child {
	program, err := os.Executable()
	if err != nil {
		fail("%v", err)
	}
	cmd := exec.Command(program, "replica", "--listen", address, "--id", id, "--pieces", fmt.Sprint(pieces), "--gap", gap.String())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fail("start a replica: %v", err)
	}
	c := &child{cmd: cmd, done: make(chan struct{})}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "begins ") {
				c.begun.Add(1)
			}
			rec.printf("%s (process %d): %s", id, cmd.Process.Pid, lines.Text())
		}
		_ = cmd.Wait()
		close(c.done)
	}()
	cleanups = append(cleanups, c.kill)
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return c
		}
		if time.Now().After(until) {
			fail("%s doesn't listen: %v", id, err)
		}
	}
}

func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	<-c.done
}

// proxy forwards channels to a target. While it is cut nothing passes, neither bytes nor the end of a channel;
// what was under way passes when the cut has healed, as after a partition of a network.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	healed   chan struct{} // closed while nothing is cut
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	p := &proxy{listener: l, target: target, healed: make(chan struct{})}
	close(p.healed)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn.(*net.TCPConn))
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

func (p *proxy) await() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

func (p *proxy) forward(conn *net.TCPConn) {
	p.await()
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.SetLinger(0) // a port without a listener resets the channel
		_ = conn.Close()
		return
	}
	defer conn.Close()
	defer up.Close()
	var both sync.WaitGroup
	both.Go(func() { p.copy(up.(*net.TCPConn), conn) })
	both.Go(func() { p.copy(conn, up.(*net.TCPConn)) })
	both.Wait()
}

// copy passes on what comes, and the way in which it ends.
func (p *proxy) copy(to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.await()
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				_ = from.CloseRead()
				return
			}
		}
		switch {
		case err == nil:
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		default:
			if strings.Contains(err.Error(), "reset") {
				_ = to.SetLinger(0)
				_ = to.Close()
			}
			return
		}
	}
}
