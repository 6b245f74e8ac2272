package router

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/filters/authenticate"
	"coveferry/internal/filters/relay"
	"coveferry/internal/request"
	"coveferry/internal/slo"
	"coveferry/internal/units"
)

func TestSLOOutcome(t *testing.T) {
	began := time.Unix(100, 0)
	after := func(d time.Duration) time.Time { return began.Add(d) }
	for _, c := range []struct {
		name  string
		first time.Time
		err   error
		ended time.Duration
		want  slo.Result
	}{
		{"in time", after(time.Second), nil, 5 * time.Second, slo.Good},
		{"late", after(3 * time.Second), nil, 5 * time.Second, slo.Late},
		{"empty answer in time", time.Time{}, nil, time.Second, slo.Good},
		{"empty answer too late", time.Time{}, nil, 3 * time.Second, slo.Late},
		{"not run", time.Time{}, &authenticate.Error{}, time.Second, slo.Refused},
		{"caller left", after(time.Second), &relay.CallerError{Cause: errors.New("gone")}, time.Second, slo.Canceled},
		{"cut off", after(time.Second), &relay.BrokenError{}, time.Second, slo.Failed},
	} {
		r := &request.Request{
			Arrived:   began,
			Class:     &bundle.Class{FirstToken: units.Duration(2 * time.Second)},
			Delivered: request.Delivered{FirstToken: c.first},
		}
		got := slo.Classify(sloOutcome(r, c.err, after(c.ended)))
		NewWithT(t).Expect(got).To(Equal(c.want), c.name)
	}
}
