package engine

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words of answers; some need several bytes in UTF-8.
var vocabulary = strings.Fields(`
	the of and to in a is that for it as was with be by on not he this are or his
	from at which but have an had they you were their one all we can her has there
	been if more when will would who so no out up into them then she may two other
	its time new these also any after first must where before between under again
	filing receipt registry annual return name search owner share director company
	review clause article deed notice court appeal draft summary query answer date
	scooter battery brake wheel zone crew ticket repair charge route station night
	morning city reply letter permit street bridge market river garden depot lamp
	engine token batch queue lease replica deadline budget latency prefix cache load
	signal window buffer stream packet region domain endpoint router agent bundle
	quick brown small large early late open closed plain clear whole partial steady
	one. two. three, four, five; done. stop. next, then, yes. no. maybe: either,
	für Straße Grüße Mobilität naïve café ñandú façade Łódź Kraków Θήρα мир
	東京 北京 서울 नमस्ते עולם 🛴 ✓ € résumé Jürgen Wanjirũ kũrĩa`)

var fixedLength = regexp.MustCompile(`\[\[tokens=(\d{1,7})\]\]`)

// Answers are log-normal in length, with a mean near 230 tokens.
const (
	lengthMedian = 150
	lengthSigma  = 0.92
	lengthLimit  = 4096
)

// answer is the deterministic answer to one prompt; it is the same on every
// engine.
type answer struct {
	key    uint64
	length int // natural length in tokens, before max_tokens
}

func newAnswer(model, prompt string, seed int64) answer {
	var num [8]byte
	binary.LittleEndian.PutUint64(num[:], uint64(seed))
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write(num[:])
	_, _ = d.WriteString(prompt)
	key := d.Sum64()
	return answer{key: key, length: answerLength(key, prompt)}
}

func answerLength(key uint64, prompt string) int {
	if m := fixedLength.FindStringSubmatch(prompt); m != nil {
		n, _ := strconv.Atoi(m[1]) // the pattern admits digits only
		return n
	}
	rng := rand.New(rand.NewPCG(key, key))
	n := int(lengthMedian * math.Exp(lengthSigma*rng.NormFloat64()))
	return min(max(n, 1), lengthLimit)
}

// referenceMark begins the first token of every answer, followed by eight
// hexadecimal digits of the answer's key. The engine uses it to find where the
// answer begins in a prompt that ends with part of its answer.
const referenceMark = "ref:"

// appendToken appends the i-th token's text.
func (a answer) appendToken(buf []byte, i int) []byte {
	if i == 0 {
		return fmt.Appendf(buf, referenceMark+"%08x", uint32(a.key))
	}
	buf = append(buf, ' ')
	return append(buf, vocabulary[splitMix64(a.key+uint64(i))%uint64(len(vocabulary))]...)
}

// answerPosition is an offset within an answer: a number of complete tokens and
// the bytes of the next one that were already delivered.
type answerPosition struct {
	tokens       int
	partialBytes int // bytes of the next token
}

// locate returns the position in the answer at which text, a prefix of it,
// ends. It returns false if text isn't a prefix.
func (a answer) locate(text string) (answerPosition, bool) {
	var buf []byte
	for i := 0; ; i++ {
		if text == "" {
			return answerPosition{tokens: i}, true
		}
		if i == a.length {
			return answerPosition{}, false
		}
		buf = a.appendToken(buf[:0], i)
		if len(text) < len(buf) {
			return answerPosition{tokens: i, partialBytes: len(text)}, string(buf[:len(text)]) == text
		}
		if text[:len(buf)] != string(buf) {
			return answerPosition{}, false
		}
		text = text[len(buf):]
	}
}

// splitMix64 is the finalizer of SplitMix64.
func splitMix64(x uint64) uint64 {
	x *= 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
