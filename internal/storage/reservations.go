package storage

// Reservations holds the room that is booked on machines and by teams. A booking
// stays until its place is proved empty, so unproved tasks count to both.
type Reservations struct {
	machines map[int]*Room
	teams    map[string]Room
	attempts int
}

// NewReservations returns an empty set of reservations.
func NewReservations() *Reservations {
	return &Reservations{machines: make(map[int]*Room), teams: make(map[string]Room)}
}

// Reserve enters one attempt's room.
func (b *Reservations) Reserve(machine int, team string, r Room) {
	held := b.Machine(machine)
	*held = held.Plus(r)
	b.teams[team] = b.teams[team].Plus(r)
	b.attempts++
}

// Release takes one attempt's room out again.
func (b *Reservations) Release(machine int, team string, r Room) {
	held := b.Machine(machine)
	*held = held.Minus(r)
	b.teams[team] = b.teams[team].Minus(r)
	b.attempts--
}

// Machine returns what is booked on a machine, to be read at any time.
func (b *Reservations) Machine(id int) *Room {
	held := b.machines[id]
	if held == nil {
		held = new(Room)
		b.machines[id] = held
	}
	return held
}

// Team returns what a team has booked.
func (b *Reservations) Team(name string) Room { return b.teams[name] }

// Attempts returns how many attempts are booked.
func (b *Reservations) Attempts() int { return b.attempts }

// WithinLimit tells whether used stays within limit, where 0 means no limit.
func WithinLimit(used, limit Room) bool {
	return (limit.CPUs <= 0 || used.CPUs <= limit.CPUs+roomSlack) &&
		(limit.GPUs <= 0 || used.GPUs <= limit.GPUs+roomSlack)
}
