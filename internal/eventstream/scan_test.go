package eventstream

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// split reads a text in pieces of the given size and returns its complete events and what is left.
func split(text string, size int) (events []string, rest string) {
	var buffered []byte
	scanned := 0
	for len(text) > 0 {
		n := min(size, len(text))
		buffered = append(buffered, text[:n]...)
		text = text[n:]
		for {
			end := End(buffered, scanned)
			if end == 0 {
				scanned = len(buffered)
				break
			}
			events = append(events, string(buffered[:end]))
			buffered, scanned = buffered[end:], 0
		}
	}
	return events, string(buffered)
}

func TestEventsAreFoundInPiecesOfAnySize(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		ids  []string
		rest string
	}{
		"LF":               {"id: 1\ndata: a\n\nid: 2\n\nid: 3\nda", []string{"1", "2"}, "id: 3\nda"},
		"CRLF":             {"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\nid: 3\r\n\r", []string{"1", "2"}, "id: 3\r\n\r"},
		"CR":               {"id: 1\rdata: a\r\rid: 2\r\rid: 3\r", []string{"1", "2"}, "id: 3\r"},
		"mixed":            {"id: 1\ndata: a\n\r\nid: 2\r\n\nid: 3\r\r\nid: 4\n", []string{"1", "2", "3"}, "\nid: 4\n"},
		"comments":         {": one\n\nid: 1\n\n: two\n\n", []string{"", "1", ""}, ""},
		"empty lines":      {"id: 1\n\n\n\nid: 2\n\n\n", []string{"1", "", "2"}, "\n"},
		"byte order mark":  {"\uFEFFid: 1\n\n", []string{"1"}, ""},
		"nothing complete": {"id: 1\ndata: a\n", nil, "id: 1\ndata: a\n"},
	} {
		for size := 1; size <= len(c.text); size++ {
			g := NewWithT(t)
			events, rest := split(c.text, size)
			var ids []string
			for _, event := range events {
				ids = append(ids, Parse([]byte(event)).ID)
			}
			g.Expect(ids).To(Equal(c.ids), "%s in pieces of %d", name, size)
			g.Expect(rest).To(Equal(c.rest), "%s in pieces of %d", name, size)
			g.Expect(strings.Join(events, "")+rest).To(Equal(c.text), "%s in pieces of %d", name, size)
		}
	}
}

func TestFieldsOfEvents(t *testing.T) {
	for text, want := range map[string]Event{
		"id: 7\ndata: a\n\n":          {ID: "7", HasID: true, HasData: true},
		"id:7\r\ndata:a\r\n\r\n":      {ID: "7", HasID: true, HasData: true},
		"data: id: 7\n\n":             {HasData: true},
		"id\ndata: a\n\n":             {HasID: true, HasData: true},
		"ident: 7\ndata\n\n":          {HasData: true},
		": id: 7\nretry: 5\n\n":       {},
		"event: x\n\n":                {},
		"id: 7\nid: 8\n\n":            {ID: "8", HasID: true},
		"data: a\ndata: b\nid: 9\n\n": {ID: "9", HasID: true, HasData: true},
	} {
		NewWithT(t).Expect(Parse([]byte(text))).To(Equal(want), "%q", text)
	}
}

// FuzzEnd checks that events don't depend on how their text is cut into pieces.
func FuzzEnd(f *testing.F) {
	f.Add("id: 1\r\n\r\nid: 2\n\n\r\rdata: a\n\r\n", 3)
	f.Fuzz(func(t *testing.T, text string, size int) {
		if size < 1 {
			return
		}
		whole, rest := split(text, max(1, len(text)))
		events, left := split(text, size)
		if strings.Join(events, "")+left != text || strings.Join(whole, "")+rest != text {
			t.Fatalf("%q in pieces of %d: bytes are lost", text, size)
		}
		if strings.Join(events, "|") != strings.Join(whole, "|") {
			t.Fatalf("%q in pieces of %d: %q, whole %q", text, size, events, whole)
		}
	})
}
