package server

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// SendTimeout is how long sent data may remain unacknowledged before the
// connection to an endpoint is closed as broken. It holds for closed ones, too.
const SendTimeout = deadPeerIdle + deadPeerProbes*deadPeerProbe

// setUserTimeout sets TCP_USER_TIMEOUT on a socket that is about to connect.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SendTimeout/time.Millisecond))
	})
	return errors.Wrap(errors.CombineErrors(err, sockErr), "server: set TCP_USER_TIMEOUT")
}
