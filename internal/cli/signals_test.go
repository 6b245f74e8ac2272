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

// asProgram in the environment has the test binary run as a program.
const asProgram = "COVEFERRY_TEST_PROGRAM"

// slowStop is a program that takes a while to stop, as a daemon with open streams.
type slowStop struct {
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
	if os.Getenv(asProgram) != "" {
		os.Args = os.Args[:1]
		Main("slow-stop", "", &slowStop{})
	}
	os.Exit(m.Run())
}

// stopTwice starts the program, sends it the signal twice and returns its last line
// and how it ended.
func stopTwice(g Gomega, sig syscall.Signal) (string, error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1")
	out, err := cmd.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Start()).To(Succeed())
	last := ""
	for lines := bufio.NewScanner(out); lines.Scan(); {
		last = lines.Text()
		if last != "stopped" {
			time.Sleep(50 * time.Millisecond)
			g.Expect(cmd.Process.Signal(sig)).To(Succeed())
		}
	}
	return last, cmd.Wait()
}

func TestASecondSIGTERMDoesNotCutAStopShort(t *testing.T) {
	g := NewWithT(t)
	last, err := stopTwice(g, syscall.SIGTERM)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(last).To(Equal("stopped"))
}

func TestASecondSIGINTEndsAtOnce(t *testing.T) {
	g := NewWithT(t)
	last, err := stopTwice(g, syscall.SIGINT)
	g.Expect(last).To(Equal("stopping"))
	var exit *exec.ExitError
	g.Expect(errors.As(err, &exit)).To(BeTrue())
}
