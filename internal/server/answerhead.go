package server

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"
)

// MalformedHeadError is the error of a request whose answer has a head that isn't valid in HTTP/1.1, though
// net/http reads it. Nothing that such an answer says can be relied on.
type MalformedHeadError struct {
	// Reason says what isn't valid.
	Reason string
}

// Error implements error.
func (e *MalformedHeadError) Error() string {
	return "server: malformed head of an answer: " + e.Reason
}

// The final statuses that HTTP defines. 101 isn't among them, as no upgrade is requested.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// majorVersion is that of all heads over HTTP/1.
const majorVersion = 1

// maxQuotedName is how many bytes of a field name an error quotes.
const maxQuotedName = 64

// IsFinalStatus reports whether a status can be that of an answer, rather than of an interim answer or of none.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// checkHead returns a *MalformedHeadError unless the head of an answer over HTTP/1 is valid.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != majorVersion {
		return &MalformedHeadError{Reason: "protocol " + resp.Proto}
	}
	if !IsFinalStatus(resp.StatusCode) {
		return &MalformedHeadError{Reason: fmt.Sprintf("status %03d", resp.StatusCode)}
	}
	for name := range resp.Header {
		// net/http reads a name with a blank as one of its own, so that "Content-Length : 5" is no length.
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedHeadError{Reason: fmt.Sprintf("field name %q", name[:min(len(name), maxQuotedName)])}
		}
	}
	return nil
}

// checkAnswer returns an answer that came over a connection, unless its head is malformed. The connection is then
// closed, since it is uncertain where the answer ends.
func checkAnswer(resp *http.Response, conn net.Conn) (*http.Response, error) {
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close()
		_ = conn.Close()
		return nil, err
	}
	return resp, nil
}

// strictTransport is an http.Transport over HTTP/1 that rejects answers with malformed heads.
type strictTransport struct{ *http.Transport }

// NewStrictTransport returns t, which must use HTTP/1 only, as a transport that reads heads of answers up to
// MaxResponseHeaderBytes, rejects malformed ones with a *MalformedHeadError, and takes no reset for the end of an
// answer.
func NewStrictTransport(t *http.Transport) http.RoundTripper {
	t.MaxResponseHeaderBytes = MaxResponseHeaderBytes
	if t.DialContext == nil {
		t.DialContext = new(net.Dialer).DialContext // the default of net/http
	}
	t.DialContext = dialClientConns(t.DialContext)
	return strictTransport{t}
}

// RoundTrip implements http.RoundTripper.
func (t strictTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	return checkAnswer(resp, conn)
}
