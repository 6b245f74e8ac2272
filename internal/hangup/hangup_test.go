package hangup

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// helperVariable has the test's program stand in for a daemon that does nothing.
const helperVariable = "COVEFERRY_HANGUP_HELPER"

func TestMain(m *testing.M) {
	if os.Getenv(helperVariable) == "" {
		os.Exit(m.Run())
	}
	fmt.Println("started")
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n') // until the test lets it end
}

// Guards against a daemon that a SIGHUP ends before it has read its settings.
func TestSignalDoesNotEndADaemonThatHasJustStarted(t *testing.T) {
	for role, survives := range map[string]bool{"direct": true, "standalone": false} {
		g := NewWithT(t)
		daemon := exec.Command(os.Args[0], role)
		daemon.Env = append(os.Environ(), helperVariable+"=1")
		stdin, err := daemon.StdinPipe()
		g.Expect(err).NotTo(HaveOccurred())
		stdout, err := daemon.StdoutPipe()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(daemon.Start()).To(Succeed())
		_, err = bufio.NewReader(stdout).ReadString('\n')
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(daemon.Process.Signal(syscall.SIGHUP)).To(Succeed())
		if survives {
			g.Expect(stdin.Close()).To(Succeed())
		}
		err = daemon.Wait()
		g.Expect(err == nil).To(Equal(survives), "%s: %v", role, err)
	}
}
