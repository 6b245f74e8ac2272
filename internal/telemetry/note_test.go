package telemetry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"
)

func TestNotesDoNotAffectReadiness(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewReadiness("serving")
	mux := NewMux(NewRegistry(), r)
	getHealth := func() (int, Health) {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, PathReady, nil))
		var h Health
		g.Expect(json.Unmarshal(w.Body.Bytes(), &h)).To(gomega.Succeed())
		return w.Code, h
	}
	r.SetNote("bundle", "not confirmed")
	status, h := getHealth()
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(h).To(gomega.Equal(Health{Waiting: []string{"serving"}, Notes: map[string]string{"bundle": "not confirmed"}}))
	r.Open("serving")
	status, h = getHealth()
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(h).To(gomega.Equal(Health{Ready: true, Notes: map[string]string{"bundle": "not confirmed"}}))
	r.SetNote("bundle", "")
	_, h = getHealth()
	g.Expect(h).To(gomega.Equal(Health{Ready: true}))
}
