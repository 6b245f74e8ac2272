package limit_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/filters/limit"
	"coveferry/internal/request"
)

func succeed(context.Context, *request.Request) error { return nil }

func TestRefusalNamesLimitAndRetryAfter(t *testing.T) {
	for code, limits := range map[limit.Code]bundle.TeamLimits{
		limit.CodeRequests: {RequestsPerSecond: 0.01},
		limit.CodeTokens:   {TokensPerSecond: 0.01},
	} {
		g := gomega.NewWithT(t)
		f := limit.New()
		r := &request.Request{Team: &bundle.Team{Name: "registry", Limits: limits}}
		g.Expect(f.Do(t.Context(), r, func(_ context.Context, r *request.Request) error {
			r.Delivered.Tokens = 2
			return nil
		})).To(gomega.Succeed())
		var refused *limit.Error
		g.Expect(errors.As(f.Do(t.Context(), r, succeed), &refused)).To(gomega.BeTrue())
		g.Expect(refused.Code).To(gomega.Equal(code))
		g.Expect(refused.RetryAfter).To(gomega.BeNumerically(">", 90*time.Second))
		g.Expect(refused.API().Status).To(gomega.Equal(http.StatusTooManyRequests))
	}
}

func TestConcurrencySlotIsReleasedWhenRequestEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	f := limit.New()
	r := &request.Request{Team: &bundle.Team{Name: "registry", Limits: bundle.TeamLimits{Concurrency: 1}}}
	g.Expect(f.Do(t.Context(), r, func(ctx context.Context, r *request.Request) error {
		var refused *limit.Error
		g.Expect(errors.As(f.Do(ctx, r, succeed), &refused)).To(gomega.BeTrue())
		g.Expect(refused.Code).To(gomega.Equal(limit.CodeConcurrency))
		return nil
	})).To(gomega.Succeed())
	g.Expect(f.Do(t.Context(), r, succeed)).To(gomega.Succeed())
}

func benchmark(b *testing.B, limits bundle.TeamLimits) {
	f := limit.New()
	r := &request.Request{Team: &bundle.Team{Name: "registry", Limits: limits}}
	b.ReportAllocs()
	for b.Loop() {
		if err := f.Do(b.Context(), r, succeed); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkTeamWithoutLimits(b *testing.B) { benchmark(b, bundle.TeamLimits{}) }

func BenchmarkTeamWithLimits(b *testing.B) {
	benchmark(b, bundle.TeamLimits{RequestsPerSecond: 1e12, Concurrency: 10})
}
