package placement

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
)

// newTestPlanner returns a planner and an empty fleet that carries out the planner's decisions.
func newTestPlanner() (*Planner, *clustertest.Fleet) {
	fleet := clustertest.NewFleet(clustertest.Settings())
	random := rand.New(rand.NewPCG(7, 7))
	return New(&fleet.Settings, fleet.State, fleet, random, slog.New(slog.DiscardHandler)), fleet
}

// setMaxPerGPU sets the largest amounts of resources that open jobs request per GPU, as if UpdateMaxPerGPU had just
// computed them.
func (p *Planner) setMaxPerGPU(r storage.Resources) {
	p.maxPerGPU, p.maxPerGPUUpdatedAt = r, time.Now()
}

// Tasks with the same requirements have the same shape. Once a search has found no candidate for a shape, later searches
// for this shape look only at candidates that were added after the first search.
func TestExhaustedShapeIsSearchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, fleet := newTestPlanner()
		for i := range 100 {
			fleet.ReportMachine(i+1, "cpu", "a", false)
		}
		j := fleet.AddJob(clustertest.Service("000001", 1000))
		r := p.newRound(time.Now())
		p.placeTasks(j, j.Startable(), r)
		zones := NewZoneCheck(j)
		if from := r.exhausted.FirstUnsearched(p.ShapeOf(j), &zones, r.zones); len(r.reserved) != 400 || from != len(r.candidates) {
			t.Fatalf("%d reserved and searched up to %d, want 400 and %d", len(r.reserved), from, len(r.candidates))
		}
		added := CandidateOf(fleet.ReportMachine(200, "cpu", "a", false))
		r.candidates = append(r.candidates, &added)
		if c := p.chooseCandidate(&shortlist{job: j, round: r, zones: &zones}); c == nil || c.Machine.ID != 200 {
			t.Errorf("chooseCandidate() = %+v, want the candidate that was added", c)
		}
	})
}

// A shortlist that is updated after each placed task must have the same candidates, in the same order, as a shortlist
// from a new search. Both then lead to the same choices.
func TestShortlistMatchesFreshSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, fleet := newTestPlanner()
		for i := range rapid.IntRange(1, 30).Draw(t, "machines") {
			typeName := rapid.SampledFrom([]string{"cpu", "gpu"}).Draw(t, "type")
			m := fleet.ReportMachine(i+1, typeName, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), rapid.Bool().Draw(t, "spot"))
			if rapid.Bool().Draw(t, "image") {
				m.Images["img"] = cluster.Image{SizeGB: 1, LastUsed: time.Now()}
			}
			if rapid.Bool().Draw(t, "failures") {
				m.Failures.RecordFailure("000009")
			}
		}
		p.setMaxPerGPU(storage.Resources{CPUs: float64(rapid.IntRange(0, 8).Draw(t, "per gpu"))})
		spec := clustertest.Service("000001", rapid.IntRange(1, 60).Draw(t, "tasks"))
		spec.Spread, spec.Spot = rapid.Bool().Draw(t, "spread"), rapid.Bool().Draw(t, "may use spot")
		spec.SameZone = !spec.Spread && rapid.Bool().Draw(t, "same zone")
		spec.Resources.GPUs = float64(rapid.IntRange(0, 1).Draw(t, "gpus"))
		j := fleet.AddJob(spec)
		r := p.newRound(time.Now())
		zones := NewZoneCheck(j)
		kept := shortlist{job: j, round: r, zones: &zones}
		for task := range spec.Tasks {
			fresh := shortlist{job: j, round: &round{now: r.now, candidates: r.candidates, zones: r.zones, exhausted: make(ExhaustedShapes)}, zones: &zones}
			p.searchShortlist(&fresh)
			c := p.chooseCandidate(&kept)
			if (c == nil) != (len(fresh.candidates) == 0) || c != nil && (kept.tier != fresh.tier || !slices.Equal(kept.candidates, fresh.candidates)) {
				t.Fatalf("task %d: %d candidates of tier %d, a search finds %d of tier %d", task, len(kept.candidates), kept.tier, len(fresh.candidates), fresh.tier)
			}
			if c == nil {
				return
			}
			p.reserveOn(c, j, task, r)
			zones.Add(c.Zone, 1)
			p.updateShortlist(&kept, c)
		}
	})
}

// Opportunistic tasks must not use the headroom, which is kept free for services. On a machine with free GPUs, they must
// also leave enough CPUs for the tasks that will use these GPUs. In a former version they took up the headroom and these
// CPUs.
func TestOpportunisticWorkLeavesHeadroomAndGPUs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, fleet := newTestPlanner()
		fleet.ReportMachine(1, "cpu", "a", false) // a machine of this type fits four tasks of the service or two opportunistic tasks
		fleet.ReportMachine(2, "cpu", "a", false)
		gpu := fleet.ReportMachine(3, "gpu", "a", false)
		training := clustertest.Service("000001", 1)
		training.Resources = storage.Resources{CPUs: 8, GPUs: 1, MemoryGB: 8}
		fleet.Reserve(fleet.AddJob(training), 0, gpu, time.Now())
		p.setMaxPerGPU(storage.Resources{CPUs: 8})
		headroomJob := cluster.NewJob(clustertest.Service("000002", 1), time.Now())
		p.SetHeadroom([]Headroom{{Job: headroomJob, Tasks: 2}})
		opportunistic := fleet.AddJob(clustertest.Opportunistic("000003", 100))
		for range 3 {
			p.RunRound(time.Now())
		}
		if on := len(gpu.Attempts); on != 1 {
			t.Errorf("%d opportunistic tasks on the CPUs that free GPUs need, want none", on-1)
		}
		if opportunistic.AllocatedTasks() != 3 {
			t.Errorf("%d opportunistic tasks on two machines that fit two each, with room for one kept as headroom; want 3", opportunistic.AllocatedTasks())
		}
	})
}
