package loopbacktest

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Rule names a rule of the protocol that the audit log checks.
type Rule string

// The rules that the audit log checks.
const (
	RanTwice     Rule = "ran_twice"     // two attempts of a task ran at the same time
	OverQuota    Rule = "quota"         // a team used more processors than its limit
	RanCancelled Rule = "ran_cancelled" // a task ran too long after its job was cancelled
)

// Violation is one broken rule, with the evidence.
type Violation struct {
	Rule Rule
	Text string
}

func (f Violation) String() string { return string(f.Rule) + ": " + f.Text }

// maxViolations bounds the list of broken rules: one that is broken tends to be broken often.
const maxViolations = 100

// quotaTolerance allows for the rounding of decimal sums.
const quotaTolerance = 1e-6

// auditLog records which attempt ran where and checks the rules. Workers.mu guards it.
type auditLog struct {
	running        attemptIndex         // running attempts by task name
	attemptsByJob  attemptIndex         // all attempts that a machine knows, by job
	cpusInUse      map[string]float64   // by team
	cpuLimits      map[string]float64   // by team; 0: no limit
	cancelledAt    map[string]time.Time // when the user received the confirmation, by job
	completedTasks map[string]bool
	violations     []Violation
	violationCount int
	starts         int
	startLatency   map[Class]*hdrhistogram.Histogram // from acceptance to start, in microseconds
}

func newAuditLog(teams []Team) *auditLog {
	l := &auditLog{
		running: make(attemptIndex), attemptsByJob: make(attemptIndex),
		cpusInUse: make(map[string]float64), cpuLimits: make(map[string]float64),
		cancelledAt: make(map[string]time.Time), completedTasks: make(map[string]bool), startLatency: make(map[Class]*hdrhistogram.Histogram),
	}
	for _, t := range teams {
		l.cpuLimits[t.Name] = t.CPULimit
	}
	return l
}

func (l *auditLog) addViolation(rule Rule, format string, args ...any) {
	l.violationCount++
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, Violation{rule, fmt.Sprintf(format, args...)})
	}
}

// addAttempt adds an attempt that a machine knows.
func (l *auditLog) addAttempt(m *machine, a *attempt) { l.attemptsByJob.add(a.job, a, m) }

// removeAttempt removes an attempt that its machine no longer knows.
func (l *auditLog) removeAttempt(a *attempt) {
	l.attemptEnded(a)
	l.attemptsByJob.remove(a.job, a)
}

// attemptStarted records that an attempt runs from now on, and checks the rules.
func (l *auditLog) attemptStarted(m *machine, a *attempt, j Job, lease time.Duration, now time.Time) {
	for other, otherMachine := range l.running[a.id.task] {
		// A machine whose lease has expired has killed its tasks, though that may not be recorded yet.
		if other != a && !otherMachine.deleted && now.Sub(otherMachine.leaseRenewedAt) <= lease {
			l.addViolation(RanTwice, "%s started on %s (attempt %d) while on %s (attempt %d)", a.id.task, m.name, a.id.number, otherMachine.name, other.id.number)
		}
	}
	l.running.add(a.id.task, a, m)
	a.team, a.cpus = j.Team, j.CPUs
	l.cpusInUse[j.Team] += j.CPUs
	if limit := l.cpuLimits[j.Team]; limit > 0 && l.cpusInUse[j.Team] > limit+quotaTolerance {
		l.addViolation(OverQuota, "team %s uses %.1f processors of %.1f with %s", j.Team, l.cpusInUse[j.Team], limit, a.id.task)
	}
	l.starts++
	if !j.acceptedAt.IsZero() && !a.restarted {
		l.recordStartLatency(j.Class(), now.Sub(j.acceptedAt))
	}
}

// attemptEnded records that an attempt no longer runs. It does nothing if that is recorded already.
func (l *auditLog) attemptEnded(a *attempt) {
	if _, running := l.running[a.id.task][a]; !running {
		return
	}
	l.running.remove(a.id.task, a)
	l.cpusInUse[a.team] -= a.cpus
}

// checkCancelled checks for running tasks of jobs whose cancellation is older than the limit.
func (l *auditLog) checkCancelled(timing Timing, now time.Time) {
	for id, at := range l.cancelledAt {
		if now.Sub(at) <= timing.Cancel {
			continue
		}
		for a, m := range l.attemptsByJob[id] {
			if a.running && !m.deleted && now.Sub(m.leaseRenewedAt) <= timing.Lease {
				l.addViolation(RanCancelled, "%s is on %s %v after its user was told", a.id.task, m.name, now.Sub(at))
			}
		}
		delete(l.cancelledAt, id)
	}
}

func (l *auditLog) recordStartLatency(class Class, latency time.Duration) {
	h := l.startLatency[class]
	if h == nil {
		h = newLatencyHistogram()
		l.startLatency[class] = h
	}
	recordMicros(h, latency)
}

// attemptIndex holds attempts with their machines by a key, such as the job.
type attemptIndex map[string]map[*attempt]*machine

func (x attemptIndex) add(key string, a *attempt, m *machine) {
	if x[key] == nil {
		x[key] = make(map[*attempt]*machine)
	}
	x[key][a] = m
}

func (x attemptIndex) remove(key string, a *attempt) {
	delete(x[key], a)
	if len(x[key]) == 0 {
		delete(x, key)
	}
}
