package coordination

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// What guards against a combination of faults, taken alone: the scenarios show that it is
// survived, these tests that the guard does its part.

// A successor may have told the user something newer once our lead may have
// ended: by then an answer on its way is void, unless it is final.
func TestAnAnswerLastsAsLongAsTheLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		r := d.role
		r.Certain = time.Now().Add(time.Second)
		d.setRole(r)
		asked := time.Now()
		running := Answer{Code: CodeOK, ID: "000001", State: StateRunning}
		if a := d.withValidity(running, asked); a.Code != CodeOK || a.Holds != time.Second {
			t.Errorf("told %+v", a)
		}
		time.Sleep(time.Second)
		if a := d.withValidity(running, asked); a.Code != CodeUnavailable || a.RetryS == 0 {
			t.Errorf("told after the lead may have ended: %+v", a)
		}
		if a := d.withValidity(Answer{Code: CodeNotFound}, asked); a.Code != CodeUnavailable {
			t.Errorf("told after the lead may have ended: %+v", a)
		}
		if a := d.withValidity(Answer{Code: CodeOK, State: StateDone}, asked); a.Code != CodeOK {
			t.Errorf("a final state isn't told: %+v", a)
		}
	})
}

func TestAHeldUpAnswerIsNotPassedOn(t *testing.T) {
	inSimulation(t, func(sim *simulation) {
		sim.submit(service("000001", 1))
		sim.submit(service("000002", 1))
		sim.cancel("000002")
		lead := sim.awaitLeader()
		lead.holdUp.Store(int64(sim.settings.Tuning.LeaderLease))
		for _, n := range sim.nodes {
			if n == lead {
				continue
			}
			if a := sim.askNode(n, OpPoll, "000001", storage.Spec{}); a.Code != CodeUnavailable {
				t.Errorf("passed on late: %+v", a)
			}
			if a := sim.askNode(n, OpPoll, "000002", storage.Spec{}); !a.final() {
				t.Errorf("a final state isn't passed on: %+v", a)
			}
		}
	})
}

// A machine whose reports don't come through loses its lease, however well
// direct commands reach it.
func TestDirectAnswersAloneDontMakeAMachineReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := grownSettings()
		d := newTestDispatcher(t, s)
		m := d.up(7, "cpu", "a", false)
		answer := func() {
			d.apply(m, &Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Session: 1, Seq: m.seq + 1, Token: d.term}, false, time.Now())
		}
		for range 2 * freshIntervals {
			time.Sleep(s.Report)
			answer()
		}
		if m.ready(time.Now(), s.fresh()) {
			t.Error("ready without a report")
		}
		d.up(7, "cpu", "a", false)
		if !m.ready(time.Now(), s.fresh()) {
			t.Error("not ready after a report")
		}
	})
}

// Between a cancel and its commit no start may leave: it would come after the
// user was told.
func TestNoStartLeavesOnceACancelIsOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		j := d.accept(service("000001", 1))
		m := d.up(7, "cpu", "a", false)
		a := d.book(j, 0, m, time.Now())
		j.phase = storage.Cancelled
		d.start([]*attempt{a})
		if a.direct != directNone {
			t.Error("started directly")
		}
		a.durable = true
		for _, o := range d.ordersFor(m, &Report{Machine: 7, Session: 1, Seq: m.seq + 1, Token: d.term}, time.Now()) {
			if o.Verb == Start {
				t.Error("started with the answer to a report")
			}
		}
	})
}

// What a successor finds when a leader ended between the commits of a job's last
// page and of the job itself.
func TestAJobWhosePagesAreDoneIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := arrayJob("000001", 3)
		records := []storage.Record{record(t, storage.JobKey("000001"), storage.JobRecord{Tasks: 3, Spec: &spec}),
			record(t, storage.PageKey("000001", 0), storage.PageRecord{Done: []int{0, 2}})}
		d := newTestDispatcher(t, grownSettings())
		if err := d.load(records); err != nil {
			t.Fatal(err)
		}
		if j := d.jobs["000001"]; j.phase != storage.Done || len(d.dirty) == 0 {
			t.Errorf("phase %v", j.phase)
		}
	})
}

func record(t *testing.T, key string, data any) storage.Record {
	t.Helper()
	r, err := storage.NewRecord(key, data)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A batch that is carried out late comes among newer ones of its sender: the
// newer must not be lost, and nobody waits for the older.
func TestALateRelayBatchNeitherHidesNorFollowsANewerOne(t *testing.T) {
	change := func(run, serial uint64, of, i int) storage.Item {
		data, err := json.Marshal(batchFragment{Run: run, Serial: serial, Of: of})
		if err != nil {
			t.Fatal(err)
		}
		return storage.Item{Key: relayOps(relayRequestPrefix, "n1", make([]json.RawMessage, i+1))[i].Key, Data: data}
	}
	got := collectBatches([]storage.Item{change(1, 8, 2, 0), change(1, 8, 2, 1), change(1, 7, 1, 0), change(1, 6, 2, 0)}, relayRequestPrefix)
	if len(got) != 2 || len(got[batchID{"n1", 1, 8}]) != 2 || len(got[batchID{"n1", 1, 7}]) != 1 {
		t.Errorf("collected %v", got)
	}
	p := &relayServer{latest: make(map[string]batchID)}
	for _, c := range []struct {
		run, serial uint64
		news        bool
	}{{1, 8, true}, {1, 7, false}, {1, 8, false}, {1, 9, true}, {2, 1, true}} {
		if p.isLatest(batchID{"n1", c.run, c.serial}) != c.news {
			t.Errorf("batch %d of run %d", c.serial, c.run)
		}
	}
}

// Every path on which a worker's lease can be renewed, as an inequality: the last
// renewal, a lease on a slow clock after it, and the moment that a worker takes to
// end its tasks come before cancel_s after the earliest cancel that the renewer
// can't know of. docs/design.md has the argument.
func TestEveryRenewalEndsBeforeAnUnknownCancelIsDue(t *testing.T) {
	for _, s := range []Settings{grownSettings(), {Report: 2 * time.Second, Lease: 12 * time.Second, Cancel: 42 * time.Second},
		{Report: 5 * time.Second, Lease: 26500 * time.Millisecond, Cancel: 56500 * time.Millisecond}} {
		s.Peers = []Peer{{Name: "n1", Zone: "a"}}
		s.Tuning = s.DefaultTuning()
		// endOf is when a lease renewed then has ended on any worker's clock.
		endOf := func(renewed time.Time) time.Time { return renewed.Add(scale(s.Lease, 1.0005)) }
		due := func(confirmed time.Time) time.Time { return confirmed.Add(scale(s.Cancel, 1/1.0005)) }
		t.Run("the leader's own answers", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(t, s)
				certain := time.Now()
				d.setRole(Role{Leading: true, Term: 2, Certain: certain, HoldOut: certain.Add(s.hold())})
				last := time.Time{}
				for seq := uint64(1); time.Since(certain) < 2*s.Cancel; seq++ {
					r := &Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Session: 1, Seq: seq, Token: 2}
					if d.handleHeartbeat(r).Accepted {
						last = time.Now()
					}
					time.Sleep(100 * time.Millisecond)
				}
				if last.IsZero() || !endOf(last).Before(due(certain)) {
					t.Errorf("last renewed %v after the lead may have ended", last.Sub(certain))
				}
			})
		})
		t.Run("a peer on loan", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(t, s)
				certain := time.Now()
				d.setRole(Role{Leading: true, Term: 2, Certain: certain, HoldOut: certain.Add(s.hold())})
				c := newForwarder(&Node{settings: &s})
				words := &fakeNode{sim: &simulation{}, statuses: make(map[string]PeerReport)}
				c.node.deps.Peers = words
				for time.Since(certain) < s.Cancel {
					d.publishDelegation(time.Now())
					span, excluded := d.delegator.delegate("n1")
					words.statuses["n1"] = PeerReport{PeerStatus: PeerStatus{DelegatesFor: span, DelegationTerm: 2, Excluded: excluded}, Sent: time.Now(), Got: time.Now()}
					c.refreshDelegation()
					time.Sleep(100 * time.Millisecond)
				}
				if c.delegation.until.IsZero() || !endOf(c.delegation.until).Before(due(certain)) {
					t.Errorf("lent until %v after the lead may have ended", c.delegation.until.Sub(certain))
				}
			})
		})
		t.Run("prolonged by the peers' word", func(t *testing.T) {
			// What a peer does after its status it does after we asked for it.
			asked := time.Now()
			if !endOf(asked.Add(s.hold())).Before(due(asked)) {
				t.Error("beyond a cancel that is confirmed right after the word")
			}
		})
	}
}

// Peers confirm only what they know for their whole life: one that heard the
// state service after our grant may have ended, or began after that, doesn't.
func TestOnlyPeersThatCantHaveLedConfirmIt(t *testing.T) {
	for _, c := range []struct {
		name      string
		up, since time.Duration
		term      uint64
		confirms  bool
	}{
		{"up and without the store since before", 20 * time.Second, 15 * time.Second, 2, true},
		{"heard the store since: took over, and may have stepped down again", 20 * time.Second, 5 * time.Second, 0, false},
		{"restarted within a second", 5 * time.Second, 5 * time.Second, 0, false},
		{"began after, though it says that it heard nothing for longer", 5 * time.Second, 15 * time.Second, 0, false},
		{"heard it at that very moment", 20 * time.Second, 10 * time.Second, 0, false},
		{"leads a later term, whatever else it says", 20 * time.Second, 15 * time.Second, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := grownSettings()
				s.Peers = []Peer{{Name: "n1"}, {Name: "n2"}}
				l := &leadership{settings: &s, peers: scriptedPeers{"n1": {Uptime: time.Hour, SinceState: time.Hour}, "n2": {Uptime: c.up, SinceState: c.since, Term: c.term}}}
				if got := l.leaderless(t.Context(), 2, time.Now().Add(-10*time.Second)); got != c.confirms {
					t.Errorf("confirmed: %v", got)
				}
			})
		})
	}
}

// scriptedPeers is a peer link whose nodes say always the same of themselves.
type scriptedPeers map[string]PeerStatus

func (s scriptedPeers) Forward(_ context.Context, node string, _ UserRequest) (Answer, error) {
	return Answer{Peer: s[node].Wire()}, nil
}
func (s scriptedPeers) Heartbeats(context.Context, string, []*Report) ([]HeartbeatResponse, error) {
	return nil, nil
}
func (s scriptedPeers) Status(node string) (PeerReport, bool) {
	return PeerReport{PeerStatus: s[node]}, true
}
func (s scriptedPeers) SilentFor(string) time.Duration { return 0 }
func (s scriptedPeers) KnownLeader() (string, uint64)  { return "", 0 }

// The journal asks again what stays unanswered, and settles it once.
func TestAnUnansweredCommitIsAskedAgain(t *testing.T) {
	inSimulation(t, func(sim *simulation) {
		sim.awaitLeader()
		time.Sleep(5 * time.Second)
		n := 0
		sim.state.Trouble(func(s *storagetest.Service) {
			s.Delay = func() time.Duration {
				if n++; n == 1 {
					return time.Hour // never, as far as the scenario goes
				}
				return 0
			}
		})
		began := time.Now()
		sim.submit(service("000001", 1))
		took := time.Since(began)
		sim.state.Trouble(func(s *storagetest.Service) {
			if took > 2*time.Second || n < 2 {
				t.Errorf("accepted after %v, with %d transactions", took, n)
			}
		})
	})
}

// A machine that has tasks of a cancelled job is left out of a delegation.
func TestAnExcludedMachineIsNotRenewedByDelegation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := grownSettings()
		s.Zone = "a"
		c := newForwarder(&Node{settings: &s})
		c.delegation = delegation{term: 2, until: time.Now().Add(time.Minute), excluded: []int{7}}
		for machine, renewed := range map[int]bool{7: false, 8: true} {
			c.workers[machine] = &knownWorker{session: 1, seq: 1, lastAnswered: time.Now()}
			r := &Report{Machine: machine, Zone: "a", Session: 1, Seq: 2, Token: 2}
			p := pendingReport{report: r, digest: c.workers[machine].digest}
			if a := c.decideDelegated(p, time.Now()); a.Accepted != renewed {
				t.Errorf("machine %d: %+v", machine, a)
			}
		}
	})
}

// Neither a start nor a forget may come before what it rests on is durable: a
// successor would start the task a second time, or miss that it is done.
func TestOrdersWaitForWhatTheyRestOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		j := d.accept(arrayJob("000001", 1))
		m := d.up(7, "cpu", "a", false)
		a := d.book(j, 0, m, time.Now())
		orders := func() []Order {
			return d.ordersFor(m, &Report{Machine: 7, Session: 1, Seq: m.seq + 1, Token: d.term}, time.Now())
		}
		if o := orders(); len(o) != 0 {
			t.Errorf("ordered %+v before the booking is durable", o)
		}
		a.durable = true
		clear(d.dirty)
		if o := orders(); len(o) != 1 || o[0].Verb != Start {
			t.Errorf("ordered %+v", o)
		}
		d.apply(m, &Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Session: 1, Seq: m.seq + 1, Token: d.term,
			Tasks: []TaskReport{{ID: a.id(), Try: a.try, State: Ended, Cause: CauseDone}}}, true, time.Now())
		if o := orders(); len(o) != 0 {
			t.Errorf("ordered %+v before the end is durable", o)
		}
		clear(d.dirty)
		if o := orders(); len(o) != 1 || o[0].Verb != Forget {
			t.Errorf("ordered %+v", o)
		}
	})
}

// Nothing is told before it is durable: a successor would not know of it.
func TestNothingIsToldBeforeItIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		tell := func(op UserOp, spec storage.Spec) (Answer, bool) {
			reply := make(chan Answer, 1)
			d.handleUser(userMsg{UserRequest{Op: op, ID: spec.ID, Spec: spec}, reply})
			select {
			case a := <-reply:
				return a, true
			default:
				return Answer{}, false
			}
		}
		commit := func(err error) {
			clear(d.dirty)
			d.inCommit, d.committed = d.committed, nil
			d.handleCommitted(err)
		}
		a, b := arrayJob("000001", 1), arrayJob("000002", 1)
		if got, told := tell(OpSubmit, a); told {
			t.Errorf("accepted before it is durable: %+v", got)
		}
		if got, _ := tell(OpPoll, a); got.Code != CodeUnavailable {
			t.Errorf("told before it is durable: %+v", got)
		}
		tell(OpSubmit, b)
		commit(nil)
		if got, _ := tell(OpPoll, a); got.Code != CodeOK {
			t.Errorf("not told: %+v", got)
		}
		if got, told := tell(OpCancel, a); told {
			t.Errorf("cancelled before it is durable: %+v", got)
		}
		if got, _ := tell(OpPoll, a); got.final() {
			t.Errorf("cancelled before it is durable: %+v", got)
		}
		j := d.jobs[b.ID]
		j.setTask(0, taskDone)
		d.finish(j)
		if got, _ := tell(OpPoll, b); got.final() {
			t.Errorf("done before it is durable: %+v", got)
		}
		commit(nil)
		for _, spec := range []storage.Spec{a, b} {
			if got, _ := tell(OpPoll, spec); !got.final() {
				t.Errorf("not told: %+v", got)
			}
		}
		// A cancel of a done job tells that it is done; a repeat, what it is.
		if got, _ := tell(OpCancel, b); got.Code != CodeOK || got.State != StateDone {
			t.Errorf("a done job's cancel is answered %+v", got)
		}
		if got, _ := tell(OpSubmit, a); got.Code != CodeOK || got.State != StateCancelled {
			t.Errorf("a cancelled job's repeat is answered %+v", got)
		}
	})
}

// Work must not wait long beside a machine's room, whatever it did in trouble.
func TestAMachineInTroubleIsTriedAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := grownSettings()
		d := newTestDispatcher(t, s)
		m := d.up(7, "cpu", "a", false)
		for i := range 12 {
			m.failures++
			d.failed(d.accept(arrayJob(fmt.Sprintf("%06d", i+1), 1)), m, time.Now())
			d.sessionEnded(m, &Report{Machine: 7, Session: uint64(i + 2)}, time.Now())
			if pause := time.Until(m.pauseTill); pause > 2*s.Lease {
				t.Fatalf("left alone for %v", pause)
			}
		}
	})
}

// A session that is first heard of directly has its own lease, whenever the one
// before was last answered. The scenario of it no longer places work there, since
// such a machine isn't ready; the bound must hold all the same.
func TestTheBoundOfANewSessionCountsFromItsFirstReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := grownSettings()
		d := newTestDispatcher(t, s)
		m := d.up(7, "cpu", "a", false)
		time.Sleep(s.Lease)
		heard := time.Now()
		d.apply(m, &Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Session: 2, Seq: 1, Token: d.term}, false, heard)
		if by := d.emptyBy(m); by.Before(heard.Add(s.Lease)) {
			t.Errorf("called empty %v after the session's first word", by.Sub(heard))
		}
	})
}

// An earlier leader may have gone on renewing leases for its whole hold: a machine
// that this term hasn't heard isn't called empty before the last of them has ended.
func TestAMachineUnheardSinceTheTakeOverIsBoundByTheEarlierHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := grownSettings()
		d := newTestDispatcher(t, s)
		spec := service("000001", 1)
		if err := d.load([]storage.Record{record(t, storage.JobKey("000001"), storage.JobRecord{Tasks: 1, Spec: &spec}),
			record(t, storage.PageKey("000001", 0), storage.PageRecord{Attempts: []storage.AttemptRecord{{Task: 0, Try: 5, Machine: 1, Session: 1}}})}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(s.hold() + s.Lease)
		if d.expire(time.Now()); len(d.jobs["000001"].attempts) != 1 {
			t.Error("called empty while an earlier leader's last lease may last")
		}
		time.Sleep(time.Second)
		if d.expire(time.Now()); len(d.jobs["000001"].attempts) != 0 {
			t.Error("never called empty")
		}
	})
}

// A start leaves only once its record is durable: a successor would not know where
// the task is.
func TestNoStartLeavesBeforeItsRecordIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		jobs := []*job{d.accept(service("000001", 1)), d.accept(gangOf("000002", 2))}
		d.up(7, "cpu", "a", false)
		d.placeRound(time.Now())
		left := func() (n int) {
			for _, j := range jobs {
				for _, a := range j.attempts {
					if a.direct != directNone {
						n++
					}
				}
			}
			return n
		}
		if left() != 0 || len(jobs[0].attempts) != 1 || len(jobs[1].attempts) != 2 {
			t.Errorf("%d starts left before their records", left())
		}
		clear(d.dirty)
		d.inCommit, d.committed = d.committed, nil
		d.handleCommitted(nil)
		if left() != 3 {
			t.Errorf("%d of 3 starts left after their records", left())
		}
	})
}

// A worker that knows a later term ends this one at once.
func TestALaterTermEndsTheLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		d.up(7, "cpu", "a", false)
		if a := d.handleHeartbeat(&Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Session: 1, Seq: 9, Token: d.term + 1}); a.Accepted {
			t.Error("answered under the earlier term")
		}
		if d.certain(time.Now()) || len(d.resign) != 1 {
			t.Error("leads on")
		}
		if a := d.handleHeartbeat(&Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Session: 1, Seq: 10, Token: d.term}); a.Accepted {
			t.Error("renews a lease after it has resigned")
		}
	})
}
