package coordination

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// The version in production leads in turn with this one: each reads what the other
// wrote. testdata/production holds what it really wrote.

func frozen(t *testing.T, name string, into any) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "production", name))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		t.Fatal(err)
	}
}

func TestWhatProductionStoredIsLedOn(t *testing.T) {
	var items []storage.Item
	frozen(t, "store.json", &items)
	inWorld(t, func(w *world) {
		w.awaitLeader()
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(time.Minute)
		w.state.Trouble(func(s *storagetest.Service) { s.Restore(items) })
		// What freeze_test.go submitted.
		sw, sv, g := sweep("000001", 70), service("000002", 3), sweep("000005", 3)
		sw.Spot, sv.Spread, sv.Types, g.Gang, g.SameZone = true, true, []string{"cpu"}, true, true
		for _, s := range []storage.Spec{sw, sv, g} {
			w.upload(s)
		}
		for _, n := range w.nodes {
			n.start()
		}
		lead := w.awaitLeader()
		if term := lead.node.view.Load().role.Term; term != 2 {
			t.Errorf("leads term %d after production's first", term)
		}
		for id, want := range map[string]JobState{"000001": StatePending, "000002": StatePending, "000003": StateDone, "000004": StateCancelled, "000005": StatePending} {
			w.locked(func() { w.askedOff[id] = id == "000004" })
			w.locked(func() {
				for i := range 2 {
					w.ran[TaskID{"000003", i}] = true
				}
			})
			if a := w.poll(id); a.Code != CodeOK || a.State != want {
				t.Errorf("job %s is told %+v", id, a)
			}
		}
		done := w.poll("000001").Done
		if done <= 20 || done >= 70 {
			t.Errorf("%d tasks of the sweep are done", done)
		}
		// Its machines are gone: all that was on them is begun anew in time.
		w.locked(func() {
			for i := range 70 {
				w.ran[TaskID{"000001", i}] = true // those done before are not ours to check
			}
		})
		w.runs("000002", 3)
		w.done("000001")
		w.done("000005")
	})
}

func TestProductionsLettersAreRead(t *testing.T) {
	decode := func(name string, into any) {
		var raw []json.RawMessage
		frozen(t, name, &raw)
		var pieces []piece
		for _, r := range raw {
			var p piece
			if err := json.Unmarshal(r, &p); err != nil {
				t.Fatal(err)
			}
			pieces = append(pieces, p)
		}
		if err := decodePieces(pieces, into); err != nil {
			t.Fatal(err)
		}
	}
	var letters []letter
	decode("letters.json", &letters)
	if len(letters) != 3 || letters[0].User.Spec.Tasks != 2 || letters[1].User.Op != OpCancel ||
		letters[2].Report.Tasks[0].Cause != CausePeers || letters[2].Report.Tasks[1].State != Gathering || *letters[2].Report.Notice != 12.5 {
		t.Errorf("letters %+v", letters)
	}
	var replies []mailReply
	decode("replies.json", &replies)
	if len(replies) != 3 || replies[0].User.Holds != time.Second || replies[1].User.State != StateCancelled || replies[2].Beat.Orders[0].GraceS != 2.5 {
		t.Errorf("replies %+v", replies)
	}
}
