package relay

import (
	"coveferry/internal/completion"
	"coveferry/internal/request"
	"coveferry/internal/upstream"
)

// Limits on what is kept of an answer in the completions protocol.
const (
	// maxCollectedBytes limits an answer that is collected for a caller who doesn't stream.
	maxCollectedBytes = 8 << 20
	// keptStepBytes is by how much the reservation for an answer grows.
	keptStepBytes = 64 << 10
)

// keepText keeps a text that was delivered, so that another engine can resume after it. A text that is too
// long, or for which no memory is left, isn't kept, and the answer can't be resumed any more.
func keepText(r *request.Request, text string) {
	d := &r.Delivered
	if d.Unresumable {
		return
	}
	d.Text = append(d.Text, text...)
	if len(d.Text) > completion.MaxResumableText || !reserveKept(r) {
		d.Unresumable, d.Text = true, nil
	}
}

// checkCollected returns an error if a collected answer is too long, or no memory is left for it.
func checkCollected(r *request.Request) error {
	if r.Collected == nil {
		return nil
	}
	if size := r.Collected.Size(); size > maxCollectedBytes {
		return &upstream.EndlessError{Part: upstream.PartText, Bytes: size}
	}
	if !reserveKept(r) {
		return errNoMemory
	}
	return nil
}

// reserveKept reserves the memory of what is kept of an answer, and reports whether there is enough.
func reserveKept(r *request.Request) bool {
	kept := len(r.Delivered.Text)
	if r.Collected != nil {
		kept += r.Collected.Size()
	}
	if kept <= freeBufferBytes {
		return true
	}
	steps := (kept + keptStepBytes - 1) / keptStepBytes
	return reserve(r, int64(steps)*keptStepBytes)
}
