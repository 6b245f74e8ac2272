package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"coveferry/internal/standin/web"
)

// HeaderKVTokens holds the number of tokens that an exported KV cache covers,
// and HeaderProduced the number that the exported run had produced.
const (
	HeaderKVTokens = "X-KV-Tokens"
	HeaderProduced = "X-Produced-Tokens"
)

// AbortRequest is the body of a request to PathAbort.
type AbortRequest struct {
	RequestID string `json:"request_id"`
	// Reason is recorded as the run's end: "preempted" or "cancelled"; empty
	// means "cancelled".
	Reason End `json:"reason,omitempty"`
}

// AbortReply holds the number of aborted sequences of the request.
type AbortReply struct {
	Aborted int `json:"aborted"`
}

// ExportRequest is the body of a request to PathExport.
type ExportRequest struct {
	RequestID string `json:"request_id"`
	// Keep lets the run continue after the export.
	Keep bool `json:"keep,omitempty"`
}

// ImportReply names the request that a cache was imported for.
type ImportReply struct {
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range e.assets.models {
		list.Data = append(list.Data, newModel(name))
	}
	for _, name := range e.assets.adapters {
		list.Data = append(list.Data, newModel(name))
	}
	e.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, list)
}

func newModel(name string) model {
	return model{ID: name, Object: "model", OwnedBy: "vllm", Root: name}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, e.Load())
}

func (e *Engine) serveAbort(w http.ResponseWriter, r *http.Request) {
	req, err := readJSON[AbortRequest](w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	switch req.Reason {
	case EndNone:
		req.Reason = EndCancelled
	case EndCancelled, EndPreempted:
	default:
		writeError(w, badRequest("unknown reason %q", req.Reason))
		return
	}
	web.WriteJSON(w, http.StatusOK, AbortReply{Aborted: e.Abort(req.RequestID, req.Reason)})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	o, err := readJSON[Order](w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	err = e.order(o)
	if errors.Is(err, errTruncated) || !e.waitUntilUp(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, o)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	req, err := readJSON[ExportRequest](w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	out, err := e.export(req.RequestID, req.Keep)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(out.blob)))
	w.Header().Set(HeaderKVTokens, strconv.Itoa(out.tokens))
	w.Header().Set(HeaderProduced, strconv.Itoa(out.produced))
	_, _ = w.Write(out.blob) // the client may have disconnected
}

// serveImport stores a cache for the request that continues the exported run.
// ?request_id= names that request if its id differs from the exported one's.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	blob, err := readAll(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	state, err := e.importKV(blob, r.URL.Query().Get("request_id"))
	if err != nil {
		writeError(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, ImportReply{RequestID: state.RequestID, Tokens: state.Tokens})
}

// serveEvents streams the KV-cache events that follow ?after= and then new
// ones, unless ?follow=false.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := afterParam(r)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
	w.WriteHeader(http.StatusOK)
	ctl := http.NewResponseController(w)
	follow := r.URL.Query().Get("follow") != "false"
	e.mu.Lock()
	crashSignal := e.crashSignal
	e.mu.Unlock()
	for {
		page := e.eventsAfter(after)
		for _, ev := range page.events {
			after = ev.Seq
			writeEvent(w, ev)
		}
		if err := ctl.Flush(); err != nil || !follow {
			return
		}
		if !awaitEvents(r, page, crashSignal) || !e.waitUntilUp(r.Context()) {
			panic(http.ErrAbortHandler)
		}
	}
}

// afterParam returns the sequence number of the last event that the reader has.
func afterParam(r *http.Request) (uint64, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest("after must be a sequence number, got %q", text)
	}
	return after, nil
}

func (e *Engine) eventsAfter(seq uint64) eventPage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events.after(seq, time.Now())
}

func writeEvent(w http.ResponseWriter, ev Event) {
	data, _ := json.Marshal(ev) // an Event can always be encoded
	m := sse.Message{ID: sse.ID(strconv.FormatUint(ev.Seq, 10)), Type: sse.Type(string(ev.Type))}
	m.AppendData(string(data))
	_, _ = m.WriteTo(w) // the following flush reports a failed write
}

// awaitEvents waits until there may be more events. It returns false if the
// reader disconnected or the engine crashed.
func awaitEvents(r *http.Request, page eventPage, crashSignal <-chan struct{}) bool {
	var due <-chan time.Time
	changed := page.changed
	if page.wait >= 0 {
		timer := time.NewTimer(page.wait)
		defer timer.Stop()
		due = timer.C
		changed = nil // events become due in sequence order
	}
	select {
	case <-due:
		return true
	case <-changed:
		return true
	case <-crashSignal:
		return false
	case <-r.Context().Done():
		return false
	}
}

func readJSON[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var v T
	body, err := readAll(w, r)
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return v, badRequest("body: %v", err)
	}
	return v, nil
}
