package benchcmd

import (
	"io"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"coveferry/internal/bench"
)

// refreshInterval is the minimum time between two updates of the progress bar.
const refreshInterval = 100 * time.Millisecond

// newProgress returns a progress bar if w is a terminal, and a no-op otherwise.
func newProgress(w io.Writer) bench.Progress {
	f, ok := w.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return noProgress{}
	}
	return &bar{w: w}
}

type noProgress struct{}

func (noProgress) Begin(string, int) {}
func (noProgress) Step()             {}
func (noProgress) End()              {}

// bar shows the number of completed requests. It ignores errors of drawing.
type bar struct {
	w   io.Writer
	bar *progressbar.ProgressBar
}

func (b *bar) Begin(policy string, requests int) {
	b.bar = progressbar.NewOptions(requests,
		progressbar.OptionSetWriter(b.w),
		progressbar.OptionSetDescription(policy),
		progressbar.OptionShowCount(),
		progressbar.OptionThrottle(refreshInterval),
		progressbar.OptionClearOnFinish(),
	)
}

func (b *bar) Step() { _ = b.bar.Add(1) }

func (b *bar) End() { _ = b.bar.Finish() }
