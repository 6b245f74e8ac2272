package soak

import (
	"fmt"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports of the programs lie below those that the kernel gives to connections (from
// 32768 on), which otherwise takes the port of a program that is being restarted.
// Each soak has a block of its own, so that several may run at once.
const (
	firstPort  = 12000
	blockPorts = 400
	blocks     = 50
)

// ports hands out addresses that nobody listens on, each once.
type ports struct {
	mu          sync.Mutex
	first, next int
}

// newPorts returns those of the soak with a process id.
func newPorts(pid int) *ports {
	first := firstPort + pid%blocks*blockPorts
	return &ports{first: first, next: first}
}

func (p *ports) free(n int) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var free []string
	for ; len(free) < n && p.next < p.first+blockPorts; p.next++ {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // somebody has it
		}
		if err := l.Close(); err != nil {
			return nil, errors.Wrap(err, "soak: find a free port")
		}
		free = append(free, address)
	}
	if len(free) < n {
		return nil, errors.Newf("soak: no port is free from %d to %d", p.first, p.first+blockPorts)
	}
	return free, nil
}
