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

// quotaTolerance is how far, in processors, the sum of a team may exceed its limit by floating-point rounding.
const quotaTolerance = 1e-6

// auditLog records which attempt ran on which machine and checks the rules. Workers.mu guards it.
type auditLog struct {
	running        attemptIndex         // running attempts by task name
	attemptsByJob  attemptIndex         // all attempts that machines hold, by job
	cpusInUse      map[string]float64   // by team
	cpuLimits      map[string]float64   // by team; 0: no limit
	cancelledAt    map[string]time.Time // when the user received the confirmation of the cancellation, by job
	completedTasks map[string]bool      // by task name
	violations     []Violation
	violationCount int                               // including those beyond maxViolations
	starts         int                               // of attempts
	startLatency   map[Class]*hdrhistogram.Histogram // from a job's acceptance to the first start of a task, in microseconds
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

// addAttempt adds an attempt that a machine holds.
func (l *auditLog) addAttempt(m *machine, a *attempt) { l.attemptsByJob.add(a.job, a, m) }

// removeAttempt removes an attempt that its machine no longer holds.
func (l *auditLog) removeAttempt(a *attempt) {
	l.attemptEnded(a)
	l.attemptsByJob.remove(a.job, a)
}

// attemptStarted records that an attempt has started to run, and checks that no other attempt of the task runs and that
// the team is within its limit.
func (l *auditLog) attemptStarted(m *machine, a *attempt, j Job, lease time.Duration, now time.Time) {
	for other, otherMachine := range l.running[a.id.task] {
		// A machine whose lease has expired has killed its tasks, though that may not be recorded yet.
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

// attemptEnded records that an attempt no longer runs. It does nothing if that is recorded already.
func (l *auditLog) attemptEnded(a *attempt) {
	if _, running := l.running[a.id.task][a]; !running {
		return
	}
	l.running.remove(a.id.task, a)
	l.cpusInUse[a.team] -= a.cpus
}

// checkCancelled checks that no task runs of jobs whose cancellation was confirmed longer ago than the limit. Each job is
// checked once.
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
