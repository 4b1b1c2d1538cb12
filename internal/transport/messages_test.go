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

// During an upgrade, controllers of several versions exchange messages. Each directory in testdata holds messages that
// controllers of one version have sent.

func TestMessagesOfEarlierVersions(t *testing.T) {
	for _, tc := range []struct {
		directory string
		version   int // version number in the recorded status
	}{
		{"production", 0}, {"769a0b2", 2}, {"registering", 3}, {"token-ranges", 4}, {"activation", peer.Version},
	} {
		t.Run(tc.directory, func(t *testing.T) {
			checkRequests(t, openMessages(t, tc.directory, "asks.gob"))
			checkResponses(t, openMessages(t, tc.directory, "answers.gob"), tc.version)
		})
	}
}

// checkRequests checks that the requests recorded from one version are decoded correctly.
func checkRequests(t *testing.T, messages *gob.Decoder) {
	t.Helper()
	var ping, submission, heartbeats peerAsk
	if err := errors.Join(messages.Decode(&ping), messages.Decode(&submission), messages.Decode(&heartbeats)); err != nil {
		t.Fatal(err)
	}
	if ping.Req.Op != api.OpPing || ping.Req.ID != "n1" {
		t.Errorf("ping is read as %+v", ping)
	}
	if s := submission.Req.Request().Spec; !s.Gang || s.Priority != storage.PriorityHigh || s.Tasks != 3 || s.DeadlineS != 90 || s.Resources.GPUs != 1 {
		t.Errorf("submission is read as %+v", submission)
	}
	if r := wire.Reports(heartbeats.Reports)[0]; r.Machine != 7 || *r.NoticeSeconds != 12.5 || r.Tasks[0].Cause != worker.CauseGangMissing {
		t.Errorf("report is read as %+v", r)
	}
}

// checkResponses checks that the responses recorded from one version are decoded correctly. version is the expected
// version number in the status.
func checkResponses(t *testing.T, messages *gob.Decoder, version int) {
	t.Helper()
	var ping, user, heartbeats peerAnswer
	if err := errors.Join(messages.Decode(&ping), messages.Decode(&user), messages.Decode(&heartbeats)); err != nil {
		t.Fatal(err)
	}
	if p := ping.Answer.Peer.Status(); p.Leader != "n2" || p.Term != 4 || p.DelegationPeriod != 20*time.Second || len(p.ExcludedMachines) != 2 || p.Version != version {
		t.Errorf("status is read as %+v, want version %d", p, version)
	}
	if r := user.Answer.Response(); r.State != api.StateRunning || r.ValidFor != time.Second || r.Running != 2 {
		t.Errorf("response to a user is read as %+v", r)
	}
	if r := wire.HeartbeatResponses(heartbeats.Beats)[0]; !r.Accepted || r.Token != 4 || r.Commands[0].Verb != worker.Stop {
		t.Errorf("response to a heartbeat is read as %+v", r)
	}
}

// Wake requests, usage reports and their responses must be decoded correctly. The file holds these four messages as they
// were sent by the first version that supports them. They form one gob stream, as on a connection.
func TestActivationMessages(t *testing.T) {
	messages := openMessages(t, "activation", "wakes.gob")
	var wakeRequest, usageRequest receivedRequest
	var wakeResponse, usageResponse receivedResponse
	for _, message := range []any{&wakeRequest, &wakeResponse, &usageRequest, &usageResponse} {
		if err := messages.Decode(message); err != nil {
			t.Fatal(err)
		}
	}
	if r := wakeRequest; r.Serial != 4 || *r.Wake != (activation.WakeRequest{Model: "000007", Generation: 3, Wait: time.Second}) {
		t.Errorf("wake request is read as %+v", r.Wake)
	}
	want := activation.WakeResponse{Verdict: activation.VerdictKnown, State: activation.Ready, Generation: 4, Machine: "10.0.0.7:9000",
		Expected: time.Second, Holds: 3 * time.Second, Reason: "runs always"}
	if r := wakeResponse; r.Serial != 4 || *r.Wake != want {
		t.Errorf("wake response is read as %+v, want %+v", r.Wake, want)
	}
	if u := usageRequest.Usage; u.Node != "n1" || u.Session != "s" || u.Serial != 7 || u.Models[0] != (activation.ModelUsage{Model: "000007", InFlight: 2, QuietFor: time.Second, Drained: 3}) {
		t.Errorf("usage report is read as %+v", u)
	}
	if u := usageResponse.Usage; u.Verdict != activation.VerdictKnown || u.Draining[0] != (activation.DrainOrder{Model: "000007", Drain: 4}) {
		t.Errorf("usage response is read as %+v", u)
	}
}

// openMessages returns a decoder for the messages in the named file. The file is in a subdirectory of testdata.
func openMessages(t *testing.T, directory, name string) *gob.Decoder {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", directory, name))
	if err != nil {
		t.Fatal(err)
	}
	return gob.NewDecoder(bytes.NewReader(raw))
}

// The types into which the version that runs in production decodes responses. They have only the fields that the
// production version reads.
type (
	productionPeerState struct {
		Up, SinceState time.Duration
		Leader         string
		Term           uint64
		Hears, Alone   time.Duration
		Lends          time.Duration
		LendTerm       uint64
		Barred         []int
	}
	productionAnswer struct {
		Code, State   int
		ID            string
		Done, Running int
		Reason        string
		RetryS        int
		Peer          productionPeerState
		Holds         time.Duration
	}
	productionPeerAnswer struct {
		Serial uint64
		Answer productionAnswer
		Beats  []wire.BeatAnswer
	}
	// laterPeerAnswer is a response that a later version might send. It has fields that this version doesn't have.
	laterPeerAnswer struct {
		Serial uint64
		Answer struct {
			ID      string
			Code    int
			Peer    struct{ Version, Unknown int }
			Unknown map[string]string
		}
		More []string
	}
)

func TestProductionReadsCurrentMessages(t *testing.T) {
	var buf bytes.Buffer
	sent := peerAnswer{Serial: 3, Answer: wire.Answer{Code: api.CodeOK, ID: "000007", State: api.StateDone, Done: 2,
		Peer: wire.PeerState{Up: time.Minute, Leader: "n2", Term: 4, Lends: time.Second, Barred: []int{7}, Version: peer.Version}}}
	if err := gob.NewEncoder(&buf).Encode(sent); err != nil {
		t.Fatal(err)
	}
	var got productionPeerAnswer
	if err := gob.NewDecoder(&buf).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if a := got.Answer; got.Serial != 3 || a.ID != "000007" || a.State != int(api.StateDone) || a.Peer.Term != 4 || a.Peer.Lends != time.Second || len(a.Peer.Barred) != 1 {
		t.Errorf("%+v is read as %+v", sent, got)
	}
}

// A message of a later version may have fields that this version doesn't have. This version must ignore these fields and
// decode the others.
func TestMessagesOfLaterVersions(t *testing.T) {
	var sent laterPeerAnswer
	sent.Serial, sent.Answer.ID, sent.Answer.Peer.Version, sent.More = 9, "000007", 99, []string{"x"}
	sent.Answer.Unknown = map[string]string{"a": "b"}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(sent); err != nil {
		t.Fatal(err)
	}
	var got peerAnswer
	if err := gob.NewDecoder(&buf).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if got.Serial != 9 || got.Answer.ID != "000007" || got.Answer.Peer.Version != 99 {
		t.Errorf("%+v is read as %+v", sent, got)
	}
}
