package arrivals

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// vocabulary holds the words of generated prompts. The stub engine ignores their
// meaning.
var vocabulary = strings.Fields(`the party of first part shall file annual return
	within ninety days scooter battery zone repair brake ticket city reply
	owner share capital article clause register name search receipt crew`)

// sharedPrompts holds the prompt prefixes, such as instructions and templates,
// shared by the requests of a team in a class. They don't depend on Plan.Seed.
type sharedPrompts struct {
	words    map[string]int // by class
	prefixes map[prefixKey]string
}

type prefixKey struct{ team, class string }

func newSharedPrompts(m Mix) sharedPrompts {
	p := sharedPrompts{words: make(map[string]int), prefixes: make(map[prefixKey]string)}
	for _, c := range m.Classes() {
		p.words[c.Name] = c.PromptWords
	}
	return p
}

// prompt returns the shared prefix followed by the request's own part.
func (p sharedPrompts) prompt(a *Arrival) string {
	key := prefixKey{a.Team, a.Class}
	text, ok := p.prefixes[key]
	if !ok {
		text = sharedPrefix(key, p.words[a.Class])
		p.prefixes[key] = text
	}
	return fmt.Sprintf("%s[[id=%s]] [[tokens=%d]]", text, a.ID, a.Tokens)
}

func sharedPrefix(key prefixKey, length int) string {
	rnd := rand.New(rand.NewPCG(hash64(key.team, key.class), 0))
	var b strings.Builder
	for range length {
		b.WriteString(vocabulary[rnd.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}
