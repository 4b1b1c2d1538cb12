package storage

// Reservations sums up the resources that attempts have reserved, per machine and per team. A
// reservation lasts until its attempt is known to have left the machine, so an attempt that
// may still run counts towards both. It is not safe for concurrent use.
type Reservations struct {
	machines map[int]*Resources
	teams    map[string]Resources
	attempts int
}

// NewReservations returns an empty set of reservations.
func NewReservations() *Reservations {
	return &Reservations{machines: make(map[int]*Resources), teams: make(map[string]Resources)}
}

// Reserve adds the resources of one attempt.
func (s *Reservations) Reserve(machine int, team string, r Resources) {
	reserved := s.Machine(machine)
	*reserved = reserved.Add(r)
	s.teams[team] = s.teams[team].Add(r)
	s.attempts++
}

// Release subtracts the resources of one attempt.
func (s *Reservations) Release(machine int, team string, r Resources) {
	reserved := s.Machine(machine)
	*reserved = reserved.Sub(r)
	s.teams[team] = s.teams[team].Sub(r)
	s.attempts--
}

// Machine returns what is reserved on a machine. The pointer stays valid and follows every
// later change; callers must not write through it.
func (s *Reservations) Machine(id int) *Resources {
	reserved := s.machines[id]
	if reserved == nil {
		reserved = new(Resources)
		s.machines[id] = reserved
	}
	return reserved
}

// Team returns what a team has reserved.
func (s *Reservations) Team(name string) Resources { return s.teams[name] }

// Attempts returns the number of reservations.
func (s *Reservations) Attempts() int { return s.attempts }

// WithinLimit reports whether used CPUs and GPUs stay within a limit, where 0 means no limit.
func WithinLimit(used, limit Resources) bool {
	return (limit.CPUs <= 0 || used.CPUs <= limit.CPUs+roundingSlack) &&
		(limit.GPUs <= 0 || used.GPUs <= limit.GPUs+roundingSlack)
}
