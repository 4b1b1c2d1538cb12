package loopbacktest

import "sort"

// The worker's messages, by the protocol.
type (
	order struct {
		Verb    string
		Chore   string
		Try     uint64
		LeewayS float64
	}
	answer struct {
		Baton   uint64
		Ride    uint64
		Orders  []order
		Steward string
	}
	reportedTask struct {
		Chore    string
		Try      uint64
		Standing string
		Cause    string `json:",omitempty"`
	}
	report struct {
		Mount, Addr, Breed, Pasture string
		Loaner                      bool
		Ride, Tally, Baton          uint64
		Chores                      []reportedTask
	}
)

func (m *machine) report() report {
	m.seq++
	r := report{Mount: m.name, Addr: m.addr, Breed: m.kind, Pasture: m.zone, Loaner: m.spot, Ride: m.session, Tally: m.seq, Baton: m.token, Chores: []reportedTask{}}
	for name, t := range m.tasks {
		r.Chores = append(r.Chores, reportedTask{name.task, name.try, t.state, t.cause})
	}
	sort.Slice(r.Chores, func(a, b int) bool { return r.Chores[a].Chore < r.Chores[b].Chore })
	return r
}
