package storage

// Reservations holds the room that is booked on machines and by teams. A booking
// stays until its place is proved empty, so unproved tasks count to both.
type Reservations struct {
	machines map[int]*Resources
	teams    map[string]Resources
	attempts int
}

// NewReservations returns an empty set of reservations.
func NewReservations() *Reservations {
	return &Reservations{machines: make(map[int]*Resources), teams: make(map[string]Resources)}
}

// Reserve enters one attempt's room.
func (b *Reservations) Reserve(machine int, team string, r Resources) {
	held := b.Machine(machine)
	*held = held.Add(r)
	b.teams[team] = b.teams[team].Add(r)
	b.attempts++
}

// Release takes one attempt's room out again.
func (b *Reservations) Release(machine int, team string, r Resources) {
	held := b.Machine(machine)
	*held = held.Sub(r)
	b.teams[team] = b.teams[team].Sub(r)
	b.attempts--
}

// Machine returns what is booked on a machine, to be read at any time.
func (b *Reservations) Machine(id int) *Resources {
	held := b.machines[id]
	if held == nil {
		held = new(Resources)
		b.machines[id] = held
	}
	return held
}

// Team returns what a team has booked.
func (b *Reservations) Team(name string) Resources { return b.teams[name] }

// Attempts returns how many attempts are booked.
func (b *Reservations) Attempts() int { return b.attempts }

// WithinLimit tells whether used stays within limit, where 0 means no limit.
func WithinLimit(used, limit Resources) bool {
	return (limit.CPUs <= 0 || used.CPUs <= limit.CPUs+roundingSlack) &&
		(limit.GPUs <= 0 || used.GPUs <= limit.GPUs+roundingSlack)
}
