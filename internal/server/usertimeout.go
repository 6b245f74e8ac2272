package server

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// sendTimeout is how long sent data may remain unacknowledged before the
// connection is closed as broken.
const sendTimeout = deadPeerIdle + deadPeerProbes*deadPeerProbe

// setUserTimeout sets TCP_USER_TIMEOUT on a socket that is about to connect.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(sendTimeout/time.Millisecond))
	})
	return errors.Wrap(errors.CombineErrors(err, sockErr), "server: set TCP_USER_TIMEOUT")
}
