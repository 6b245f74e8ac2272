package bundle

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"coveferry/internal/units"
)

func TestBundle(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "bundle")
}

func readExample(name string) []byte {
	src, err := os.ReadFile(filepath.Join("..", "..", "examples", "bundles", name))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return src
}

// validBundle returns a small bundle without errors and warnings.
func validBundle() *Bundle {
	issued := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	return &Bundle{
		Format: Format, Version: 7, Issued: issued, Expires: issued.AddDate(1, 0, 0),
		Tiers: []Tier{{Name: "gold"}, {Name: "bronze"}},
		Classes: []Class{
			{Name: "chat", FirstToken: units.Duration(time.Second), Deadline: units.Duration(time.Minute)},
			{Name: "batch", FirstToken: units.Duration(time.Minute), Deadline: units.Duration(time.Hour)},
		},
		Models:   []Model{{Name: "m"}},
		Services: []Service{{Name: "svc"}},
		Teams: []Team{
			{Name: "a", KeyHashes: []string{HashKey("a1"), HashKey("a2")}, Grants: []Grant{{"chat", "gold"}, {"batch", "bronze"}}},
			{Name: "b", KeyHashes: []string{HashKey("b1")}, Grants: []Grant{{"chat", "bronze"}}, Limits: TeamLimits{Concurrency: 3}},
		},
		Endpoints: []Endpoint{
			{Name: "e1", Address: "10.0.0.1:7410", ControlAddress: "10.0.0.1:7430", VM: "v1", FailureDomain: "x", Region: "r", Models: []string{"m"}, Services: []string{"svc"}, Slots: 4},
			{Name: "e2", Address: "10.0.0.2:7410", ControlAddress: "10.0.0.2:7430", VM: "v2", FailureDomain: "y", Region: "r", Models: []string{"m"}, Services: []string{"svc"}, Slots: 8},
		},
		Routers: []Router{{Name: "r1", ControlAddress: "10.0.0.9:7430", FailureDomain: "x", Region: "r"}},
		Limits:  Limits{RequestBytes: 1 << 20, QueueEntries: 10, QueueBytes: 4 << 20},
	}
}
