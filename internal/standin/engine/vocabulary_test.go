package engine

import (
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"
)

func TestVocabularyNeedsNoEscapingInJSON(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, word := range append(vocabulary, referenceMark, placeholder) {
		var b []byte
		b = append(append(append(b, '"'), word...), '"')
		var decoded string
		g.Expect(json.Unmarshal(b, &decoded)).To(gomega.Succeed())
		g.Expect(decoded).To(gomega.Equal(word))
	}
}
