package archive

import "sagevale/internal/storage"

// FinalState describes how a job ended.
type FinalState struct {
	Cancelled bool // true: the job was cancelled; false: the job is done
	Done      int  // number of done tasks
}

// FinalStateOf returns the final state of a job in the given final phase with the given number of done
// tasks.
func FinalStateOf(phase storage.Phase, done int) FinalState {
	return FinalState{Cancelled: phase == storage.PhaseCancelled, Done: done}
}

// Phase returns the phase that the journal records for a job with this final state.
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
