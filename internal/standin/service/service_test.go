package service

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/standin/web/webtest"
)

func TestAnswersWithHashAndRunAfterTheServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := webtest.Serve(t, New(Config{ServiceTime: 30 * time.Millisecond}).Handler())
		begin := time.Now()
		reply, err := c.Post("/receipts", "abc")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var got Receipt
		g.Expect(json.Unmarshal([]byte(reply.Body), &got)).To(gomega.Succeed())
		hash := "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
		g.Expect(got).To(gomega.Equal(Receipt{Run: 1, Hash: hash, Bytes: 3, Path: "/receipts"}))
		g.Expect(time.Since(begin)).To(gomega.Equal(30 * time.Millisecond))
	})
}

func TestFailureBeforeAndAfterTheEffectIsTheSameForTheCaller(t *testing.T) {
	for _, tc := range []struct {
		at      Point
		effects int
	}{{BeforeEffect, 0}, {AfterEffect, 1}} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := New(Config{})
			c := webtest.Serve(t, s.Handler())
			_, err := c.Post("/control/fail", `{"at":"`+string(tc.at)+`","times":1}`)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = c.Call("POST", "/damage", "x", HeaderIdempotencyKey, "k1", HeaderRequestID, "r1")
			g.Expect(err).To(gomega.HaveOccurred())
			r := s.Record()
			g.Expect(r.Effects).To(gomega.Equal(tc.effects))
			g.Expect(r.Calls[0].Run).To(gomega.Equal(tc.effects))
			g.Expect(r.Calls[0].Cut).To(gomega.BeTrue())
			g.Expect(r.Calls[0].IdempotencyKey).To(gomega.Equal("k1"))
			g.Expect(r.Calls[0].RequestID).To(gomega.Equal("r1"))
			_, err = c.Post("/damage", "x")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(s.Record().Effects).To(gomega.Equal(tc.effects + 1))
		})
	}
}

func TestCrashStopsCallsBeforeTheirEffectUntilRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := New(Config{ServiceTime: time.Second})
		c := webtest.Serve(t, s.Handler())
		time.AfterFunc(time.Second/2, s.Crash)
		begin := time.Now()
		_, err := c.Post("/receipts", "x")
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(time.Since(begin)).To(gomega.Equal(time.Second / 2))
		_, err = c.Post("/receipts", "y")
		g.Expect(err).To(gomega.HaveOccurred())
		time.Sleep(time.Minute)
		g.Expect(s.Record().Effects).To(gomega.BeZero())
		s.Restart()
		_, err = c.Post("/receipts", "z")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.Record().Effects).To(gomega.Equal(1))
		g.Expect(s.Record().Calls).To(gomega.HaveLen(2)) // calls while down aren't recorded
		late, ok := s.startCall(&Call{})
		g.Expect(ok).To(gomega.BeTrue())
		s.Crash()
		s.Restart()
		g.Expect(s.applyEffect(late)).To(gomega.BeFalse())
	})
}

func TestWorkContinuesAfterTheCallerDisconnectsAndTheRecordIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := New(Config{ServiceTime: time.Second, RecordLimit: 1})
		c := webtest.Serve(t, s.Handler())
		c.Timeout = 100 * time.Millisecond
		_, err := c.Post("/receipts", "x")
		g.Expect(err).To(gomega.HaveOccurred())
		time.Sleep(time.Second)
		s.SetServiceTime(0)
		_, err = c.Post("/receipts", "y")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r := s.Record()
		g.Expect(r.Effects).To(gomega.Equal(2))
		g.Expect(r.Calls).To(gomega.HaveLen(1))
		g.Expect(r.Dropped).To(gomega.Equal(1))
	})
}
