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

// Violation is one violation of a rule, with a description of what happened.
type Violation struct {
	Rule Rule
	Text string
}

func (v Violation) String() string { return string(v.Rule) + ": " + v.Text }

// maxViolations bounds the list of violations, since a fault that breaks a rule once often breaks it many times.
const maxViolations = 100

// quotaTolerance is how far the processors that a team uses may exceed its limit, in processors. It allows for
// floating-point rounding in the sum.
const quotaTolerance = 1e-6

// auditLog records which attempt ran on which machine and checks the rules. Workers.mu guards it.
type auditLog struct {
	running        attemptIndex         // running attempts, keyed by task name
	attemptsByJob  attemptIndex         // all attempts that machines hold, keyed by job ID
	cpusInUse      map[string]float64   // processors that a team uses, keyed by team
	cpuLimits      map[string]float64   // processor limit of a team, keyed by team; 0: no limit
	cancelledAt    map[string]time.Time // when the user received the confirmation of a cancellation, keyed by job ID
	completedTasks map[string]bool      // set of task names
	violations     []Violation
	violationCount int                               // number of violations, including those beyond maxViolations
	starts         int                               // number of started attempts
	startLatency   map[Class]*hdrhistogram.Histogram // from a job's acceptance to the first start of each task, in microseconds
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

// addAttempt records a new attempt and the machine that holds it.
func (l *auditLog) addAttempt(m *machine, a *attempt) { l.attemptsByJob.add(a.job, a, m) }

// removeAttempt removes an attempt that its machine no longer holds.
func (l *auditLog) removeAttempt(a *attempt) {
	l.recordEnd(a)
	l.attemptsByJob.remove(a.job, a)
}

// recordStart records that an attempt has started to run. It checks that no other attempt of the task runs, and that
// the team is within its processor limit.
func (l *auditLog) recordStart(m *machine, a *attempt, j Job, lease time.Duration, now time.Time) {
	for other, otherMachine := range l.running[a.id.task] {
		// A machine whose lease has expired has killed its tasks, even if they are still in l.running.
		if other != a && !otherMachine.deleted && now.Sub(otherMachine.leaseRenewedAt) <= lease {
			l.addViolation(RanTwice, "%s started on %s (attempt %d) while it runs on %s (attempt %d)", a.id.task, m.name, a.id.number, otherMachine.name, other.id.number)
		}
	}
	l.running.add(a.id.task, a, m)
	a.team, a.cpus = j.Team, j.CPUs
	l.cpusInUse[j.Team] += j.CPUs
	if limit := l.cpuLimits[j.Team]; limit > 0 && l.cpusInUse[j.Team] > limit+quotaTolerance {
		l.addViolation(OverQuota, "team %s uses %.1f processors, limit %.1f, after the start of %s", j.Team, l.cpusInUse[j.Team], limit, a.id.task)
	}
	l.starts++
	if !j.acceptedAt.IsZero() && !a.restarted {
		l.recordStartLatency(j.Class(), now.Sub(j.acceptedAt))
	}
}

// recordEnd records that an attempt no longer runs. It does nothing if the attempt is not recorded as running.
func (l *auditLog) recordEnd(a *attempt) {
	if _, running := l.running[a.id.task][a]; !running {
		return
	}
	l.running.remove(a.id.task, a)
	l.cpusInUse[a.team] -= a.cpus
}

// checkCancelled checks that the tasks of cancelled jobs have stopped. It checks each cancelled job once: when CancelLimit
// has passed since the user received the confirmation.
func (l *auditLog) checkCancelled(timing Timing, now time.Time) {
	for id, at := range l.cancelledAt {
		if now.Sub(at) <= timing.CancelLimit {
			continue
		}
		for a, m := range l.attemptsByJob[id] {
			if a.running && !m.deleted && now.Sub(m.leaseRenewedAt) <= timing.Lease {
				l.addViolation(RanCancelled, "%s still runs on %s %v after the cancellation was confirmed", a.id.task, m.name, now.Sub(at))
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

// attemptIndex maps a key, such as a job ID, to attempts and their machines.
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
