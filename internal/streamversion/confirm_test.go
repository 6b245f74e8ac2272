package streamversion

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stream that goes on at another version since the one that began it joined after the list
// was last known to be the newest.
func TestListThatIsOlderThanTheQuestionTellsNoVersion(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v1", "v1")
		time.Sleep(LongestReturn)
		for _, f.listAge = range []time.Duration{time.Millisecond, maxListAge / 2, maxListAge} {
			for _, id := range []string{"a", ""} {
				found, known := f.find(id)
				f.Expect(known).To(BeFalse(), "%s: %+v", f.listAge, found)
			}
		}
	})
}
