package rollout

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/control"
)

// fuzzMessage checks that a message that passes its check still passes after
// re-encoding, and that using it doesn't panic.
func fuzzMessage[T control.Checker](f *testing.F, use func(T), seeds ...T) {
	f.Helper()
	for _, s := range seeds {
		text, err := json.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(`{"from":{"id":"agent/a","v":1,"st":"settled","age":-1}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var msg, again T
		if json.Unmarshal(text, &msg) != nil || msg.Check() != nil {
			return
		}
		out, err := json.Marshal(msg)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(out, &again); err != nil || again.Check() != nil {
			t.Fatalf("%s: %v, %v", out, err, again.Check())
		}
		use(msg)
	})
}

func FuzzExchange(f *testing.F) {
	members := fleetOf(6, 2, 1)
	c := coreOf(members, 0, 1)
	fuzzMessage(f, func(e Exchange) {
		c.RecordReports(t0, members[2].ID(), e.From, e.Others)
		c.EvaluateOffer(t0, members[2].ID(), e.Held)
		if c.ActiveSummary() != summaryOf(1) || len(c.reports.byID) > len(members) {
			panic("reports must only change what is known of listed processes")
		}
	}, Exchange{Held: summaryOf(3), From: confirmedReport(members[2].ID(), 3), Others: []PeerReport{confirmedReport(members[4].ID(), 2)}, WaitMillis: 2000})
}

func FuzzExchangeReply(f *testing.F) {
	fuzzMessage(f, func(ExchangeReply) {}, ExchangeReply{Held: summaryOf(3), From: confirmedReport("agent/n1", 3)})
}

func FuzzSectionsRequest(f *testing.F) {
	s := NewStore(nil, func(*ActiveVersion) {})
	fuzzMessage(f, func(r SectionsRequest) { s.Sections(r.Digests) }, SectionsRequest{Digests: []bundle.Digest{{1}}})
}

func FuzzUpdate(f *testing.F) {
	pub, key, err := bundle.GenerateKey(bytes.NewReader(bytes.Repeat([]byte{7}, 64)))
	if err != nil {
		f.Fatal(err)
	}
	text, sig := bundle.SignManifest(&bundle.Manifest{Format: bundle.Format, Version: 3, Issued: t0, Expires: t0.Add(time.Hour), Sections: []bundle.Digest{}}, key)
	s := NewStore([]bundle.PublicKey{pub}, func(*ActiveVersion) { panic("a random update must not verify") })
	n := &Node{store: s}
	none := func(digests []digest) ([]string, error) {
		return nil, &bundle.MissingSectionError{Digests: digests}
	}
	fuzzMessage(f, func(u Update) { _ = n.applyUpdate(u, none) },
		Update{Manifest: &ManifestText{Text: string(text), Signature: string(sig)}, Sections: []string{"{}"}},
		Update{Manifest: &ManifestText{Delta: packManifest(text, text), Base: bundle.DigestOf(text), Signature: string(sig)}},
		Update{Whole: &BundleFile{Source: "{}", Signature: string(sig)}})
}

func FuzzUnpackManifest(f *testing.F) {
	base := bytes.Repeat([]byte("digest,"), 100)
	f.Add(packManifest(base, append([]byte("x"), base...)))
	f.Add(packManifest(nil, make([]byte, maxManifestBytes+1)))
	f.Fuzz(func(t *testing.T, packed []byte) {
		text, err := unpackManifest(base, packed)
		if err != nil {
			return
		}
		if len(text) > maxManifestBytes {
			t.Fatalf("%d bytes", len(text))
		}
		again, err := unpackManifest(base, packManifest(base, text))
		if err != nil || !bytes.Equal(again, text) {
			t.Fatalf("packed and unpacked: %v", err)
		}
	})
}
