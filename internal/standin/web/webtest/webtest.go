// Package webtest serves a stub on in-memory connections, for tests under
// testing/synctest.
package webtest

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"coveferry/internal/memnet"
)

// URL is the base URL of the handler for clients returned by Serve.
const URL = "http://stand-in:1"

const address = "stand-in:1"

// Client calls the handler passed to Serve.
type Client struct{ *http.Client }

// Serve serves h until the test ends.
func Serve(t *testing.T, h http.Handler) Client {
	t.Helper()
	network := memnet.New()
	l, err := network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }() // ends with the cleanup
	tr := &http.Transport{DialContext: network.Dialer("client")}
	t.Cleanup(func() {
		tr.CloseIdleConnections()
		_ = srv.Close()
	})
	return Client{&http.Client{Transport: tr}}
}

// Reply is a response with its body read.
type Reply struct {
	Status int
	Header http.Header
	Body   string
}

// Get makes a GET request.
func (c Client) Get(path string) (Reply, error) { return c.Call(http.MethodGet, path, "") }

// Post makes a POST request.
func (c Client) Post(path, body string) (Reply, error) {
	return c.Call(http.MethodPost, path, body)
}

// Call makes a request with additional headers, given as pairs. If the response
// is cut off, it returns the part received and an error.
func (c Client) Call(method, path, body string, headers ...string) (Reply, error) {
	req, err := http.NewRequest(method, URL+path, strings.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	// Without GetBody the transport can't retry the request by itself, as it
	// does for a request with an Idempotency-Key on a broken connection.
	req.GetBody = nil
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(data)}, err
}
