package transport

import (
	"bytes"
	"encoding/gob"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

// The versions in use serve side by side with this one. Every folder of testdata holds
// what nodes of one of them really sent each other.

func TestEarlierVersionsMessagesAreRead(t *testing.T) {
	for version, number := range map[string]int{"production": 0, "769a0b2": 2, "registering": 3, "token-ranges": 4, "activation": peer.Version} {
		t.Run(version, func(t *testing.T) { readsMessages(t, version, number) })
	}
}

// readsMessages reads one version's messages; number is what it tells as its version.
func readsMessages(t *testing.T, version string, number int) {
	asks, answers := open(t, version, "asks.gob"), open(t, version, "answers.gob")
	var ping, submit, report peerAsk
	for _, to := range []*peerAsk{&ping, &submit, &report} {
		if err := asks.Decode(to); err != nil {
			t.Fatal(err)
		}
	}
	if ping.Req.Op != api.OpPing || ping.Req.ID != "n1" {
		t.Errorf("ping %+v", ping)
	}
	if s := submit.Req.Request().Spec; !s.Gang || s.Priority != storage.High || s.Tasks != 3 || s.DeadlineS != 90 || s.Resources.GPUs != 1 {
		t.Errorf("submission %+v", submit)
	}
	if r := wire.Reports(report.Reports)[0]; r.Machine != 7 || *r.NoticeSeconds != 12.5 || r.Tasks[0].Cause != worker.CausePeers {
		t.Errorf("report %+v", r)
	}
	var state, user, beats peerAnswer
	for _, to := range []*peerAnswer{&state, &user, &beats} {
		if err := answers.Decode(to); err != nil {
			t.Fatal(err)
		}
	}
	if p := state.Answer.Peer.Status(); p.Leader != "n2" || p.Term != 4 || p.DelegatesFor != 20*time.Second || len(p.Excluded) != 2 || p.Version != number {
		t.Errorf("word %+v", p)
	}
	if a := user.Answer.Response(); a.State != api.StateRunning || a.ValidFor != time.Second || a.Running != 2 {
		t.Errorf("answer %+v", a)
	}
	if b := wire.HeartbeatResponses(beats.Beats)[0]; !b.Accepted || b.Token != 4 || b.Commands[0].Verb != worker.Stop {
		t.Errorf("beat %+v", b)
	}
}

// Demand is read as the first version that sends it encoded it, beside messages of the other kind.
func TestWakesAreRead(t *testing.T) {
	wakes := open(t, "activation", "wakes.gob")
	var ask receivedAsk
	var answer receivedAnswer
	if err := errors.Join(wakes.Decode(&ask), wakes.Decode(&answer)); err != nil {
		t.Fatal(err)
	}
	if ask.Serial != 4 || *ask.Wake != (activation.WakeRequest{Model: "000007", Generation: 3, Wait: time.Second}) {
		t.Errorf("ask %+v", ask.Wake)
	}
	want := activation.WakeResponse{Verdict: activation.Known, State: activation.Ready, Generation: 4, Machine: "10.0.0.7:9000",
		Expected: time.Second, Holds: 3 * time.Second, Reason: "runs always"}
	if answer.Serial != 4 || *answer.Wake != want {
		t.Errorf("answer %+v", answer.Wake)
	}
	var report, orders = receivedAsk{}, receivedAnswer{}
	if err := errors.Join(wakes.Decode(&report), wakes.Decode(&orders)); err != nil {
		t.Fatal(err)
	}
	if u := report.Usage; u.Node != "n1" || u.Session != "s" || u.Serial != 7 || u.Models[0] != (activation.ModelUsage{Model: "000007", InFlight: 2, QuietFor: time.Second, Drained: 3}) {
		t.Errorf("usage %+v", u)
	}
	if u := orders.Usage; u.Verdict != activation.Known || u.Draining[0] != (activation.DrainOrder{Model: "000007", Drain: 4}) {
		t.Errorf("orders %+v", u)
	}
}

func open(t *testing.T, version, name string) *gob.Decoder {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", version, name))
	if err != nil {
		t.Fatal(err)
	}
	return gob.NewDecoder(bytes.NewReader(raw))
}

// The shapes of production's messages, as far as it reads them.
type (
	oldPeerState struct {
		Up, SinceState time.Duration
		Leader         string
		Term           uint64
		Hears, Alone   time.Duration
		Lends          time.Duration
		LendTerm       uint64
		Barred         []int
	}
	oldAnswer struct {
		Code, State   int
		ID            string
		Done, Running int
		Reason        string
		RetryS        int
		Peer          oldPeerState
		Holds         time.Duration
	}
	oldPeerAnswer struct {
		Serial uint64
		Answer oldAnswer
		Beats  []wire.BeatAnswer
	}
	// newerAnswer is what some later version may send.
	newerAnswer struct {
		Serial uint64
		Answer struct {
			ID     string
			Code   int
			Peer   struct{ Version, Else int }
			Unsaid map[string]string
		}
		More []string
	}
)

func TestProductionReadsWhatIsSentNow(t *testing.T) {
	var buf bytes.Buffer
	sent := peerAnswer{Serial: 3, Answer: wire.Answer{Code: api.CodeOK, ID: "000007", State: api.StateDone, Done: 2,
		Peer: wire.PeerState{Up: time.Minute, Leader: "n2", Term: 4, Lends: time.Second, Barred: []int{7}, Version: peer.Version}}}
	if err := gob.NewEncoder(&buf).Encode(sent); err != nil {
		t.Fatal(err)
	}
	var got oldPeerAnswer
	if err := gob.NewDecoder(&buf).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if a := got.Answer; got.Serial != 3 || a.ID != "000007" || a.State != int(api.StateDone) || a.Peer.Term != 4 || a.Peer.Lends != time.Second || len(a.Peer.Barred) != 1 {
		t.Errorf("read as %+v", got)
	}
}

// A peer of a later version is understood as far as it says what is known.
func TestALaterVersionsMessagesAreRead(t *testing.T) {
	var sent newerAnswer
	sent.Serial, sent.Answer.ID, sent.Answer.Peer.Version, sent.More = 9, "000007", 99, []string{"x"}
	sent.Answer.Unsaid = map[string]string{"a": "b"}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(sent); err != nil {
		t.Fatal(err)
	}
	var got peerAnswer
	if err := gob.NewDecoder(&buf).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if got.Serial != 9 || got.Answer.ID != "000007" || got.Answer.Peer.Version != 99 {
		t.Errorf("read as %+v", got)
	}
}
