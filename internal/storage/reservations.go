package storage

// Reservations sums up the resources that task attempts have reserved, per machine and per team.
// A reservation is kept until its attempt is known to have ended on the machine, so an attempt
// that may still be running counts toward the sums of its machine and its team. Reservations is
// not safe for concurrent use.
type Reservations struct {
	machines map[int]*Resources
	teams    map[string]Resources
	attempts int
}

// NewReservations returns an empty set of reservations.
func NewReservations() *Reservations {
	return &Reservations{machines: make(map[int]*Resources), teams: make(map[string]Resources)}
}

// Reserve adds the resources of one attempt to the sums of its machine and its team.
func (s *Reservations) Reserve(machine int, team string, r Resources) {
	reserved := s.Machine(machine)
	*reserved = reserved.Add(r)
	s.teams[team] = s.teams[team].Add(r)
	s.attempts++
}

// Release subtracts the resources of one attempt from the sums of its machine and its team.
func (s *Reservations) Release(machine int, team string, r Resources) {
	reserved := s.Machine(machine)
	*reserved = reserved.Sub(r)
	s.teams[team] = s.teams[team].Sub(r)
	s.attempts--
}

// Machine returns the resources that are reserved on a machine. The pointer stays valid, and its
// target reflects every later change. Callers must not write through it.
func (s *Reservations) Machine(id int) *Resources {
	reserved := s.machines[id]
	if reserved == nil {
		reserved = new(Resources)
		s.machines[id] = reserved
	}
	return reserved
}

// Team returns the resources that a team has reserved.
func (s *Reservations) Team(name string) Resources { return s.teams[name] }

// Attempts returns the number of attempts with reservations.
func (s *Reservations) Attempts() int { return s.attempts }

// WithinLimit reports whether the used CPUs and GPUs are within a limit. A limit of 0 CPUs or GPUs
// means that their number is not limited.
func WithinLimit(used, limit Resources) bool {
	return (limit.CPUs <= 0 || used.CPUs <= limit.CPUs+roundingSlack) &&
		(limit.GPUs <= 0 || used.GPUs <= limit.GPUs+roundingSlack)
}
