package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// A shortlist that is kept up to date from task to task is what a search for each task finds: the same machines in the same
// order, so that every choice is the same.
func TestAShortlistIsWhatASearchFinds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newTestDispatcher(t, grownSettings())
		for i := range rapid.IntRange(1, 30).Draw(rt, "machines") {
			kind := rapid.SampledFrom([]string{"cpu", "gpu"}).Draw(rt, "kind")
			m := d.up(i+1, kind, rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"), rapid.Bool().Draw(rt, "spot"))
			if rapid.Bool().Draw(rt, "image") {
				m.Images["img"] = cluster.Image{SizeGB: 1, LastUsed: time.Now()}
			}
			if rapid.Bool().Draw(rt, "failures") {
				m.Failures.Failed("000009")
			}
		}
		d.perGPU = storage.Resources{CPUs: float64(rapid.IntRange(0, 8).Draw(rt, "per gpu"))}
		spec := service(fmt.Sprintf("%06d", 1), rapid.IntRange(1, 60).Draw(rt, "tasks"))
		spec.Spread, spec.Spot = rapid.Bool().Draw(rt, "spread"), rapid.Bool().Draw(rt, "may use spot")
		spec.SameZone = !spec.Spread && rapid.Bool().Draw(rt, "same zone")
		spec.Resources.GPUs = float64(rapid.IntRange(0, 1).Draw(rt, "gpus"))
		j := d.accept(spec)
		r := &round{now: time.Now(), candidates: d.readyCandidates(time.Now()), exhausted: make(exhaustedShapes), unpreemptable: make(exhaustedShapes)}
		r.zones = zonesOf(r.candidates)
		zones := newZoneCheck(j)
		kept := shortlist{job: j, round: r, zones: &zones}
		for task := range spec.Tasks {
			fresh := shortlist{job: j, round: &round{now: r.now, candidates: r.candidates, zones: r.zones, exhausted: make(exhaustedShapes)}, zones: &zones}
			d.search(&fresh)
			s := d.choose(&kept)
			if (s == nil) != (len(fresh.candidates) == 0) || s != nil && (kept.tier != fresh.tier || !slices.Equal(kept.candidates, fresh.candidates)) {
				rt.Fatalf("task %d: %d candidates of tier %d, a search finds %d of tier %d", task, len(kept.candidates), kept.tier, len(fresh.candidates), fresh.tier)
			}
			if s == nil {
				return
			}
			d.reserveOn(j, task, s, r.now)
			zones.add(s.Zone, 1)
			d.noteReserved(&kept, s)
		}
	})
}
