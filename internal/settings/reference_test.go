package settings

import (
	"encoding"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
	"coveferry/internal/jsonc"
	"coveferry/internal/units"
)

const (
	examples  = "../../examples/settings"
	reference = "../../docs/operations/settings.md"
)

// row is a row of the reference page without its description.
type row struct{ key, unit, def, allowed string }

var unitOf = map[reflect.Type]string{
	reflect.TypeFor[Address]():        "IP:port",
	reflect.TypeFor[[]URL]():          "list of URLs",
	reflect.TypeFor[URL]():            "URL",
	reflect.TypeFor[Name]():           "name",
	reflect.TypeFor[File]():           "path",
	reflect.TypeFor[[]PublicKey]():    "list of keys",
	reflect.TypeFor[units.Duration](): "duration",
	reflect.TypeFor[units.Bytes]():    "size",
	reflect.TypeFor[int]():            "number",
	reflect.TypeFor[float64]():        "share",
	reflect.TypeFor[bool]():           "boolean",
}

// expectedRows returns the rows that the reference must have for some settings.
func expectedRows(f roleSettings) []row {
	allowed := make(map[string]string)
	for _, r := range f.checks() {
		if r.allowed != "" {
			allowed[r.path] = r.allowed
		}
	}
	rows := rowsOfStruct(reflect.ValueOf(f).Elem(), "")
	for i := range rows {
		parts := []string{allowed[rows[i].key], rows[i].allowed}
		rows[i].allowed = strings.Join(slices.DeleteFunc(parts, func(s string) bool { return s == "" }), "; each ")
	}
	return rows
}

func rowsOfStruct(v reflect.Value, path string) []row {
	var rows []row
	for sf, value := range v.Fields() {
		key, _, _ := strings.Cut(sf.Tag.Get("json"), ",")
		fieldPath := jsonc.KeyPath(path, key)
		_, isText := reflect.New(sf.Type).Interface().(encoding.TextUnmarshaler)
		switch {
		case sf.Anonymous:
			rows = append(rows, rowsOfStruct(value, path)...)
		case sf.Type.Kind() == reflect.Struct && !isText:
			rows = append(rows, rowsOfStruct(value, fieldPath)...)
		default:
			rows = append(rows, rowOf(sf, value, fieldPath))
		}
	}
	return rows
}

func rowOf(sf reflect.StructField, v reflect.Value, path string) row {
	r := row{key: path, unit: unitOf[sf.Type], def: "`" + formatValue(v.Interface()) + "`"}
	if r.unit == "" {
		r.unit = "word"
	}
	switch {
	case sf.Tag.Get("jsonc") == "required":
		r.def = "required"
	case v.IsZero() && slices.Contains([]string{"IP:port", "path", "list of URLs"}, r.unit):
		r.def = "none"
	}
	if sf.Type.Kind() == reflect.Bool {
		r.allowed = "true or false"
	}
	described := reflect.New(sf.Type)
	if sf.Type.Kind() == reflect.Slice {
		described = reflect.New(sf.Type.Elem())
	}
	if d, ok := described.Interface().(jsonc.Describer); ok {
		r.allowed = d.Allowed()
	}
	return r
}

// documentedRows reads the table below a heading of the reference.
func documentedRows(heading string) (rows []row, meanings []string) {
	page, err := os.ReadFile(reference)
	Expect(err).NotTo(HaveOccurred())
	_, section, _ := strings.Cut(string(page), "\n## "+heading+"\n")
	section, _, _ = strings.Cut(section, "\n## ")
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| `") {
			cells := strings.Split(strings.Trim(line, "| \n"), " | ")
			Expect(cells).To(HaveLen(5), line)
			rows = append(rows, row{strings.Trim(cells[0], "`"), cells[2], cells[3], cells[4]})
			meanings = append(meanings, cells[1])
		}
	}
	return rows, meanings
}

var _ = Describe("reference and examples", func() {
	for _, role := range Roles() {
		It("describes every key of "+string(role)+" in the reference", func() {
			got, meanings := documentedRows(string(role))
			want := expectedRows(newSettings(role))
			for _, r := range want {
				Expect(got).To(ContainElement(r), fmt.Sprintf("| `%s` | MEANING | %s | %s | %s |", r.key, r.unit, r.def, r.allowed))
			}
			Expect(got).To(HaveLen(len(want)))
			for i, m := range meanings {
				Expect(len(m)).To(BeNumerically(">", 10), got[i].key)
			}
		})

		It("has a valid example of "+string(role)+" that shows every key and its default", func() {
			path := filepath.Join(examples, string(role)+".jsonc")
			gotRole, problems := Check(path)
			Expect(problems).To(BeEmpty())
			Expect(gotRole).To(Equal(role))
			doc, problems := read(path)
			Expect(problems).To(BeEmpty())
			var keys map[string]any
			Expect(doc.Decode(&keys)).To(BeEmpty())
			example := newSettings(role)
			decode(doc, example, "")
			shown := expectedRows(example)
			for i, r := range expectedRows(newSettings(role)) {
				Expect(hasPath(keys, r.key)).To(BeTrue(), r.key)
				if r.def != "required" && r.def != "none" && !strings.HasPrefix(r.key, "engine.") {
					Expect(shown[i].def).To(Equal(r.def), r.key)
				}
			}
		})
	}

	It("uses the names of the balance policies' implementations", func() {
		policies := []balance.Policy{
			balance.LoadAware{}, balance.HotCold{}, balance.PowerOfTwo{},
			balance.LeastLoaded{}, balance.Random{}, &balance.RoundRobin{},
		}
		names := make([]BalancePolicy, len(policies))
		for i, p := range policies {
			names[i] = BalancePolicy(p.Name())
		}
		Expect(names).To(Equal(BalancePolicies()))
	})
})

// hasPath reports whether a decoded document has a key.
func hasPath(keys map[string]any, path string) bool {
	first, rest, nested := strings.Cut(path, ".")
	value, ok := keys[first]
	if !nested {
		return ok
	}
	inner, _ := value.(map[string]any)
	return hasPath(inner, rest)
}
