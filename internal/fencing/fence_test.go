package fencing

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func TestForgottenAttemptNeverRunsAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 3).Draw(t, "workers"), rapid.IntRange(1, 4).Draw(t, "window"), New[attempt])
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				w.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
			},
			"": func(t *rapid.T) {
				if len(w.violations) > 0 {
					t.Fatal(w.violations[0])
				}
			},
		})
	})
}

// runHistory runs the model for 3000 random steps.
func runHistory(seed uint64, newFence newFence) *world {
	random := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(2, 3, newFence)
	for range 3000 {
		w.step(random.IntN)
	}
	return w
}

const historySeeds = 50

// The model must detect a fence that allows workers to forget ended attempts too early.
func TestModelDetectsFenceThatReleasesEarly(t *testing.T) {
	releasesEarly := func(tokens Tokens) *Fence[attempt] {
		f := New[attempt](tokens)
		f.observed = tokens.Last // the fence then assumes that no command can be carried out any more
		return f
	}
	violations := 0
	for seed := range uint64(historySeeds) {
		violations += len(runHistory(seed, releasesEarly).violations)
	}
	if violations == 0 {
		t.Errorf("got no violations in %d histories, want some", historySeeds)
	}
}

func TestFenceKeepsRetainedAttemptsFew(t *testing.T) {
	for seed := range uint64(historySeeds) {
		w := runHistory(seed, New[attempt])
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, w.violations[0])
		}
		if w.maxRetained > MaxRetained/2 {
			t.Errorf("seed %d: got %d attempts retained, want at most %d", seed, w.maxRetained, MaxRetained/2)
		}
	}
}

func TestFenceRaisesTokenOnlyAfterObservingIt(t *testing.T) {
	f := New[int](Tokens{First: 10, Last: 12})
	retain := func(n int) {
		for i := range n {
			f.Retain(100*int(f.Token())+i, f.Token())
		}
	}

	retain(4)
	if f.RaiseIfDue(4, false) {
		t.Error("raised before a heartbeat has shown the token")
	}
	f.ObserveToken(10)
	if f.RaiseIfDue(5, false) {
		t.Error("raised with less than a window of attempts retained")
	}
	if f.RaiseIfDue(4, true) {
		t.Error("raised with one window retained and commands unanswered")
	}
	if !f.RaiseIfDue(4, false) || f.Token() != 11 {
		t.Errorf("with one window retained: got token %d, want 11", f.Token())
	}

	retain(4)
	f.ObserveToken(11)
	if f.Retained() != 4 || f.MustRetain(1000) || !f.MustRetain(1100) {
		t.Errorf("after token 11 is observed: got %d retained, want the 4 started with token 11", f.Retained())
	}
}

func TestFenceWithLastTokenRaisesNoMore(t *testing.T) {
	f := New[int](Tokens{First: 10, Last: 12})
	f.Retain(-1, f.Token())
	f.ObserveToken(12) // from a faulty worker: no command has carried this token
	if f.Retained() != 0 {
		t.Errorf("after token 12 is observed: got %d retained attempts started with token 10, want 0", f.Retained())
	}
	for i := range MaxRetained {
		f.Retain(i, f.Token())
	}
	if f.Token() != 12 || !f.Exhausted() {
		t.Errorf("got token %d, exhausted %v, want 12, true", f.Token(), f.Exhausted())
	}
	if f.RaiseIfDue(1, false) {
		t.Error("raised beyond the last token")
	}
	if !f.Full() {
		t.Errorf("with %d retained: got not full", f.Retained())
	}
	if f.DropRetained(); f.Full() || f.Retained() != 0 {
		t.Errorf("in the next incarnation: got %d retained, want 0", f.Retained())
	}
}
