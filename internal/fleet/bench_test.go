package fleet_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"coveferry/internal/api"
	"coveferry/internal/fleet"
	"coveferry/internal/server"
	"coveferry/internal/standin/engine"
)

// BenchmarkRequest measures a complete request of three tokens over the loopback
// interface, through caller, router, agent and engine.
func BenchmarkRequest(b *testing.B) {
	s := spec()
	s.Engines = []engine.Config{{Slots: 256, TokenTime: time.Microsecond}}
	f, err := fleet.Start(s)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	client := server.NewClient(nil, nil)
	defer client.CloseIdleConnections()
	url := f.Routers()[0].URL() + "/v1/chat/completions"
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := callOnce(client, url); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func callOnce(client *http.Client, url string) error {
	const body = `{"model":"stand-in","stream":true,"messages":[{"role":"user","content":"hello [[tokens=3]]"}]}`
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(api.HeaderAuthorization, "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err == nil && !strings.HasSuffix(string(got), "data: [DONE]\n\n") {
		err = io.ErrUnexpectedEOF
	}
	return err
}
