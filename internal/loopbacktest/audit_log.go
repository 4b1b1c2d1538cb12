package loopbacktest

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Rule names what a fault breaks, as the protocol does.
type Rule string

// The rules that the workers' own log is checked against.
const (
	RanTwice     Rule = "ran_twice"
	OverQuota    Rule = "quota"
	RanCancelled Rule = "ran_cancelled"
)

// Fault is a broken rule, with what shows it.
type Fault struct {
	Rule Rule
	Text string
}

func (f Fault) String() string { return string(f.Rule) + ": " + f.Text }

// faultsKept bounds the list of faults; a broken rule tends to be broken often.
const faultsKept = 100

// quotaSlack forgives the rounding of decimal sums.
const quotaSlack = 1e-6

// ledger is the workers' own log of what ran where. The workers' lock guards it.
type ledger struct {
	present    map[string]map[*task]*machine // the tasks on their machines, by name
	byJob      map[string]map[*task]*machine // every attempt that is known to a machine, by job
	used       map[string]float64            // processors in use, by team
	limits     map[string]float64            // of teams; 0: none
	cancelled  map[string]time.Time          // when a job's user was told of its cancel
	done       map[string]bool               // tasks that have completed
	faults     []Fault
	faultCount int
	starts     int
	startDelay map[Class]*hdrhistogram.Histogram // from acceptance to start, in microseconds
}

func newLedger(teams []Team) *ledger {
	l := &ledger{
		present: make(map[string]map[*task]*machine), byJob: make(map[string]map[*task]*machine),
		used: make(map[string]float64), limits: make(map[string]float64),
		cancelled: make(map[string]time.Time), done: make(map[string]bool), startDelay: make(map[Class]*hdrhistogram.Histogram),
	}
	for _, t := range teams {
		l.limits[t.Name] = t.CPULimit
	}
	return l
}

func (l *ledger) fault(rule Rule, format string, args ...any) {
	l.faultCount++
	if len(l.faults) < faultsKept {
		l.faults = append(l.faults, Fault{rule, fmt.Sprintf(format, args...)})
	}
}

// know notes an attempt on a machine, forget removes it.
func (l *ledger) know(m *machine, t *task) { addTask(l.byJob, t.job, t, m) }

func (l *ledger) forget(t *task) {
	l.leave(t)
	removeTask(l.byJob, t.job, t)
}

// enter notes that a task is on its machine from now on, and checks the rules.
func (l *ledger) enter(m *machine, t *task, j Job, lease time.Duration, now time.Time) {
	for other, where := range l.present[t.name.task] {
		// A machine whose lease is over has ended its tasks, though it hasn't noted it.
		if other != t && !where.deleted && now.Sub(where.lastRenewed) <= lease {
			l.fault(RanTwice, "%s started on %s (attempt %d) while on %s (attempt %d)", t.name.task, m.name, t.name.try, where.name, other.name.try)
		}
	}
	addTask(l.present, t.name.task, t, m)
	t.team, t.cpus = j.Team, j.CPUs
	l.used[j.Team] += j.CPUs
	if limit := l.limits[j.Team]; limit > 0 && l.used[j.Team] > limit+quotaSlack {
		l.fault(OverQuota, "team %s uses %.1f processors of %.1f with %s", j.Team, l.used[j.Team], limit, t.name.task)
	}
	l.starts++
	if !j.accepted.IsZero() && !t.restarted {
		record(l.startDelay, j.Class(), now.Sub(j.accepted))
	}
}

// leave notes that a task is no longer on its machine.
func (l *ledger) leave(t *task) {
	if _, present := l.present[t.name.task][t]; !present {
		return
	}
	removeTask(l.present, t.name.task, t)
	l.used[t.team] -= t.cpus
}

// checkCancelled looks for tasks of jobs that were cancelled too long ago.
func (l *ledger) checkCancelled(timing Timing, now time.Time) {
	for id, at := range l.cancelled {
		if now.Sub(at) <= timing.Cancel {
			continue
		}
		for t, m := range l.byJob[id] {
			if t.running && !m.deleted && now.Sub(m.lastRenewed) <= timing.Lease {
				l.fault(RanCancelled, "%s is on %s %v after its user was told", t.name.task, m.name, now.Sub(at))
			}
		}
		delete(l.cancelled, id)
	}
}

func addTask(index map[string]map[*task]*machine, key string, t *task, m *machine) {
	if index[key] == nil {
		index[key] = make(map[*task]*machine)
	}
	index[key][t] = m
}

func removeTask(index map[string]map[*task]*machine, key string, t *task) {
	delete(index[key], t)
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// slowest is the longest latency that is told apart, in microseconds.
const slowest = int64(10 * time.Minute / time.Microsecond)

// record notes a latency of a class.
func record[K comparable](histograms map[K]*hdrhistogram.Histogram, class K, latency time.Duration) {
	h := histograms[class]
	if h == nil {
		h = hdrhistogram.New(1, slowest, 3)
		histograms[class] = h
	}
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), slowest))
}

// jobOf is the job of a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}
