package soak

import (
	"fmt"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// The programs' ports are below the kernel's ephemeral ports (from 32768 on), since an
// outgoing connection could otherwise take the port of a program that is being restarted.
// Each soak has its own block of ports, so that several can run at once.
const (
	firstPort  = 12000
	blockPorts = 400
	blocks     = 50
)

// ports allocates unused listen addresses, each once.
type ports struct {
	mu          sync.Mutex
	first, next int
	// lock is a listener on the block's first port, which reserves the block against
	// other soaks.
	lock net.Listener
}

// newPorts reserves a block that no other soak uses. The search starts at block number begin.
func newPorts(begin int) (*ports, error) {
	for i := range blocks {
		first := firstPort + (begin+i)%blocks*blockPorts
		held, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return &ports{first: first, next: first + 1, lock: held}, nil
		}
	}
	return nil, errors.Newf("soak: other programs hold all %d blocks of ports from %d on", blocks, firstPort)
}

// release frees the block for other soaks.
func (p *ports) release() { _ = p.lock.Close() }

func (p *ports) free(n int) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var free []string
	for ; len(free) < n && p.next < p.first+blockPorts; p.next++ {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
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
