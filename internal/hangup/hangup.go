// Package hangup receives SIGHUP for a daemon that reads its settings again on it. The signal ends a process
// that doesn't receive it yet, and may come as soon as the process has started. This package depends on
// little, so that it is initialized before most others.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// roleDirect is the first argument of the daemon that reads its settings again.
const roleDirect = "direct"

// received gets the signal. One that waits to be handled stands for all that come meanwhile.
var received = make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && os.Args[1] == roleDirect {
		Received()
	}
}

// Received returns the channel that gets SIGHUP. From its first call to the end of the process, which may
// still be stopping, the signal doesn't end it.
func Received() <-chan os.Signal {
	signal.Notify(received, syscall.SIGHUP)
	return received
}
