package coordination

import (
	"sort"
	"time"

	"sagevale/internal/storage"
)

// due is when the job should be complete; jobs without a deadline come as if
// they had been due at once.
func (j *job) due() time.Time {
	if j.spec.DeadlineS > 0 {
		return j.submitted.Add(seconds(j.spec.DeadlineS))
	}
	return j.submitted
}

// hope tells whether a job that runs for runS can still be done by its
// deadline (0), within lateTimes of it (1), or neither (2). A lost deadline
// isn't made better by losing others.
func (j *job) hope(now time.Time, runS float64) int {
	if j.spec.Service || j.spec.DeadlineS <= 0 {
		return 0
	}
	ends := now.Add(seconds(runS))
	switch {
	case !ends.After(j.due()):
		return 0
	case !ends.After(j.submitted.Add(seconds(j.spec.DeadlineS * lateTimes))):
		return 1
	}
	return 2
}

// lateTimes a deadline is how long late work is still worth hurrying.
const lateTimes = 1.5

// byUrgency sorts waiting jobs: priority first, then what can still be done in
// time, then the work within its team's guarantee, then the earlier due.
func (d *dispatcher) byUrgency(jobs []*job, now time.Time) {
	type key struct {
		hope   int
		within bool
		due    time.Time
	}
	keys := make(map[*job]key, len(jobs))
	prompt := d.settings.promptStart()
	within := d.guaranteed()
	for _, j := range jobs {
		k := key{j.hope(now, d.runTime(j)), within[j], j.due()}
		if k.within && now.Sub(j.submitted) < prompt {
			// It can still start as promptly as its guarantee has it; what
			// has missed that loses little by letting it go first.
			k.hope = -1
		}
		keys[j] = k
	}
	sort.SliceStable(jobs, func(x, y int) bool {
		a, b := jobs[x], jobs[y]
		ka, kb := keys[a], keys[b]
		switch {
		case a.spec.Priority != b.spec.Priority:
			return a.spec.Priority > b.spec.Priority
		case ka.hope != kb.hope:
			return ka.hope < kb.hope
		case ka.within != kb.within:
			return ka.within
		case !ka.due.Equal(kb.due):
			return ka.due.Before(kb.due)
		}
		return a.spec.ID < b.spec.ID
	})
}

// guaranteed finds the open jobs that lie within their team's guarantee: they
// fit into it together with the team's earlier unfinished jobs.
func (d *dispatcher) guaranteed() map[*job]bool {
	byTeam := make(map[string][]*job)
	for _, j := range d.open {
		if t := d.settings.team(j.spec.Team); j.phase == storage.Open && t != nil && t.Guarantee != (storage.Room{}) {
			byTeam[t.Name] = append(byTeam[t.Name], j)
		}
	}
	out := make(map[*job]bool)
	for name, jobs := range byTeam {
		sort.Slice(jobs, func(x, y int) bool { return jobs[x].submitted.Before(jobs[y].submitted) })
		guarantee := d.settings.team(name).Guarantee
		var used storage.Room
		for _, j := range jobs {
			used = used.Plus(j.spec.Room.Times(j.spec.Tasks - j.done))
			out[j] = storage.Within(used, guarantee)
		}
	}
	return out
}
