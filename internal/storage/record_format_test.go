package storage_test

import (
	"testing"

	"sagevale/internal/storage"
)

// Other versions of the program store and read the same records, so the encoded bytes of a record
// must not change, also if Go fields are renamed. A new field may be added only if it is omitted
// when empty.
func TestRecordEncodingIsStable(t *testing.T) {
	resources := storage.Resources{CPUs: 2, GPUs: 1, MemoryGB: 4.5}
	spec := storage.Spec{
		ID: "000007", Class: "c", Team: "t", Service: true, Gang: true, Priority: storage.PriorityHigh, Tasks: 3, Resources: resources,
		Types: []string{"cpu"}, Zone: "a", SameZone: true, Spread: true, Spot: true, Image: "img", ImageGB: 1.5,
		EstimateS: 30, CheckpointS: 10, SaveS: 2, DeadlineS: 90,
	}
	for _, c := range []struct {
		name string
		key  string
		data any
		want string
	}{
		{
			"job", storage.JobKey("000007"),
			storage.JobRecord{Phase: storage.PhaseCancelled, Tasks: 3, SubmittedMS: 99, Spec: &spec, DoneTasks: 1},
			`["j000007",{"f":2,"n":3,"a":99,"s":{"b":"c","o":"t","s":true,"gg":true,"u":2,"n":3,"r":{"c":2,"g":1,"m":4.5},"t":["cpu"],"z":"a","sz":true,"sp":true,"l":true,"i":"img","ig":1.5,"e":30,"k":10,"ks":2,"d":90},"d":1}]`,
		},
		{"small job", storage.JobKey("000008"), storage.JobRecord{Tasks: 1}, `["j000008",{"n":1}]`},
		{
			"page", storage.TaskPageKey("000007", 2),
			storage.TaskPageRecord{Done: []int{0, 2}, Attempts: []storage.AttemptRecord{{Task: 3, Number: 9, Machine: 7, Incarnation: 4}}},
			`["p000007/2",{"d":[0,2],"a":[{"t":3,"y":9,"m":7,"r":4}]}]`,
		},
		{
			"machine", storage.MachineKey(7),
			storage.MachineRecord{Addr: "10.0.0.7:9000", Type: "cpu", Zone: "a", Spot: true, Incarnation: 4, Terminating: true, Images: map[string]float64{"img": 1.5}},
			`["m7",{"a":"10.0.0.7:9000","t":"cpu","z":"a","l":true,"r":4,"x":true,"i":{"img":1.5}}]`,
		},
		{"launch", storage.LaunchKey("r-1-2"), storage.LaunchRecord{Type: "cpu", Zone: "a", Spot: true, Count: 5}, `["hr-1-2",{"t":"cpu","z":"a","l":true,"n":5}]`},
		{"fleet", storage.FleetKey, storage.FleetRecord{Desired: 9, Term: 3}, `["f",{"n":9,"t":3}]`},
		{
			"machine types", storage.MachineTypesKey,
			[]storage.MachineType{{Name: "cpu", Resources: resources, CacheGB: 60, FetchGBPS: 1.5, Price: 2, SpotPrice: 1, BootS: 15, Zones: []string{"a"}}},
			`["c",[{"n":"cpu","r":{"c":2,"g":1,"m":4.5},"c":60,"f":1.5,"p":2,"sp":1,"b":15,"z":["a"]}]]`,
		},
		{"removed machine", storage.MachineKey(8), nil, `["m8"]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := storage.NewRecord(c.key, c.data)
			if err != nil {
				t.Fatal(err)
			}
			got, err := r.MarshalJSON()
			if err != nil || string(got) != c.want {
				t.Errorf("got  %s, %v\nwant %s", got, err, c.want)
			}
		})
	}
}
