package jsonc_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/tailscale/hujson"
	"pgregory.net/rapid"

	"coveferry/internal/jsonc"
	"coveferry/internal/units"
)

// TestMain sets a fixed seed, unless one is given, so that runs are reproducible; the fuzz
// target explores further inputs.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("1") // the flag accepts any number
	}
	os.Exit(m.Run())
}

// sample has a field of every kind that must decode as in encoding/json.
type sample struct {
	common
	Wait   units.Duration     `json:"wait"`
	Small  int8               `json:"small"`
	Big    uint64             `json:"big"`
	Ratio  float64            `json:"ratio"`
	On     bool               `json:"on"`
	Next   *sample            `json:"next"`
	Pair   [2]int             `json:"pair"`
	Labels map[string]float32 `json:"labels"`
	Extra  any                `json:"extra"`
	Teams  []team             `json:"teams"`
}

// FuzzDecode checks that accepted documents decode as in encoding/json, and that problems have
// positions within the document.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"region": "eu", "wait": "1s", "big": 1, "next": {"on": true}, /**/ "pair": [1,2],}`))
	f.Add([]byte(`{"teams": [{"name": "a", "grants": [{"class": "x", "class": ""}]}], "extra": {"a": [null]}}`))
	f.Add([]byte("// c\n[{\"a\\u0000\": {\"b\":1}}]"))
	f.Fuzz(func(t *testing.T, src []byte) {
		g := gomega.NewWithT(t)
		d, err := jsonc.Parse("f", src)
		if err != nil {
			g.Expect(err).To(gomega.BeAssignableToTypeOf(jsonc.Problems{}))
			return
		}
		var got sample
		problems := d.Decode(&got)
		for _, p := range problems {
			checkPosition(g, d, p, src)
		}
		if len(problems) == 0 {
			g.Expect(got).To(gomega.Equal(reference(g, src)))
		}
	})
}

func checkPosition(g *gomega.WithT, d *jsonc.Document, p jsonc.Problem, src []byte) {
	lines := bytes.Split(src, []byte("\n"))
	g.Expect(p.Line).To(gomega.And(gomega.BeNumerically(">=", 1), gomega.BeNumerically("<=", len(lines))))
	g.Expect(p.Column).To(gomega.And(gomega.BeNumerically(">=", 1), gomega.BeNumerically("<=", len(lines[p.Line-1]))))
	g.Expect(strings.ContainsAny(p.String(), "\r\n")).To(gomega.BeFalse())
	g.Expect(d.Problem(p.Path, "").Line).To(gomega.BeNumerically("<=", len(lines)))
}

// reference decodes with encoding/json.
func reference(g *gomega.WithT, src []byte) sample {
	plain, err := hujson.Standardize(bytes.Clone(src))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	var s sample
	g.Expect(dec.Decode(&s)).To(gomega.Succeed())
	return s
}

func TestDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		want := drawSample(t, 2)
		src, err := json.MarshalIndent(want, "", "\t")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		d, err := jsonc.Parse("f", src)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var got sample
		g.Expect(d.Decode(&got)).To(gomega.BeEmpty())
		g.Expect(got).To(gomega.Equal(want))
	})
}

// shortKey stays below MaxKeyLength even if every rune is escaped.
var shortKey = rapid.StringN(0, jsonc.MaxKeyLength/8, -1)

func drawSample(t *rapid.T, depth int) sample {
	s := sample{
		common: common{Region: rapid.String().Draw(t, "region")},
		Wait:   units.Duration(rapid.Int64().Draw(t, "wait")),
		Small:  rapid.Int8().Draw(t, "small"),
		Big:    rapid.Uint64().Draw(t, "big"),
		Ratio:  rapid.Float64().Draw(t, "ratio"),
		On:     rapid.Bool().Draw(t, "on"),
		Pair:   [2]int{rapid.Int().Draw(t, "first"), rapid.Int().Draw(t, "second")},
		Labels: rapid.MapOf(shortKey, rapid.Float32()).Draw(t, "labels"),
		Extra:  rapid.String().Draw(t, "extra"),
		Teams:  []team{{Name: rapid.String().Draw(t, "team"), Grants: []grant{}}},
	}
	if depth > 0 && rapid.Bool().Draw(t, "nested") {
		next := drawSample(t, depth-1)
		s.Next = &next
	}
	return s
}
