package archive

import "sagevale/internal/storage"

// FinalState is the final state of a job.
type FinalState struct {
	Cancelled bool // otherwise the job is done
	Done      int  // number of done tasks
}

// FinalStateOf returns the final state of a job from its final phase and its number of done tasks.
func FinalStateOf(phase storage.Phase, done int) FinalState {
	return FinalState{Cancelled: phase == storage.PhaseCancelled, Done: done}
}

// Phase returns the final phase of the job.
func (f FinalState) Phase() storage.Phase {
	if f.Cancelled {
		return storage.PhaseCancelled
	}
	return storage.PhaseDone
}

// Entry is the number and the final state of one archived job.
type Entry struct {
	Number JobNumber
	FinalState
}

// Page holds the archived jobs whose numbers are above Lower and at most Upper, sorted by number.
type Page struct {
	Lower, Upper JobNumber
	Entries      []Entry
}
