package soak

import (
	"fmt"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports of the programs lie below those that the kernel gives to connections (from
// 32768 on), which could otherwise take the port of a program that is being
// restarted. Each soak has a block of its own, so that several may run at once.
const (
	firstPort  = 12000
	blockPorts = 400
	blocks     = 50
)

// ports hands out addresses that nobody listens on, each once.
type ports struct {
	mu          sync.Mutex
	first, next int
	// held is a listener on the block's first port, by which other soaks know that
	// the block is taken.
	held net.Listener
}

// newPorts takes a block that no other soak has, beginning the search at a number.
func newPorts(begin int) (*ports, error) {
	for i := range blocks {
		first := firstPort + (begin+i)%blocks*blockPorts
		held, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return &ports{first: first, next: first + 1, held: held}, nil
		}
	}
	return nil, errors.Newf("soak: other programs hold all %d blocks of ports from %d on", blocks, firstPort)
}

// release lets other soaks have the block.
func (p *ports) release() { _ = p.held.Close() }

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
