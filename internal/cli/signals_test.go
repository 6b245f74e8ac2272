package cli

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// childProcessEnv is the environment variable with which the test binary runs as the program
// under test.
const childProcessEnv = "COVEFERRY_TEST_PROGRAM"

// slowStopProgram takes a while to stop, like a daemon with open streams.
type slowStopProgram struct {
	Run slowStopCmd `cmd:"" default:"1"`
}

type slowStopCmd struct{}

func (slowStopCmd) Run(env *Env) error {
	fmt.Fprintln(env.Stdout, "up")
	<-env.Ctx.Done()
	fmt.Fprintln(env.Stdout, "stopping")
	time.Sleep(300 * time.Millisecond)
	fmt.Fprintln(env.Stdout, "stopped")
	return nil
}

func TestMain(m *testing.M) {
	if os.Getenv(childProcessEnv) != "" {
		os.Args = os.Args[:1]
		Main("slow-stop", "", &slowStopProgram{})
	}
	os.Exit(m.Run())
}

// signalTwice starts the program, sends it the signal twice and returns its last line of
// output and its exit error.
func signalTwice(g Gomega, sig syscall.Signal) (string, error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childProcessEnv+"=1")
	out, err := cmd.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Start()).To(Succeed())
	lastLine := ""
	for lines := bufio.NewScanner(out); lines.Scan(); {
		lastLine = lines.Text()
		if lastLine != "stopped" {
			time.Sleep(50 * time.Millisecond)
			g.Expect(cmd.Process.Signal(sig)).To(Succeed())
		}
	}
	return lastLine, cmd.Wait()
}

func TestSecondSIGTERMDoesNotInterruptShutdown(t *testing.T) {
	g := NewWithT(t)
	last, err := signalTwice(g, syscall.SIGTERM)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(last).To(Equal("stopped"))
}

func TestSecondSIGINTExitsImmediately(t *testing.T) {
	g := NewWithT(t)
	last, err := signalTwice(g, syscall.SIGINT)
	g.Expect(last).To(Equal("stopping"))
	var exit *exec.ExitError
	g.Expect(errors.As(err, &exit)).To(BeTrue())
}
