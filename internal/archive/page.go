package archive

import "sagevale/internal/storage"

// FinalState is the final state of a job.
type FinalState struct {
	Cancelled bool // otherwise the job is done
	Done      int  // how many of its tasks are done
}

// FinalStateOf returns the final state of a job in a final phase.
func FinalStateOf(phase storage.Phase, done int) FinalState {
	return FinalState{Cancelled: phase == storage.Cancelled, Done: done}
}

// Phase returns the job's phase.
func (f FinalState) Phase() storage.Phase {
	if f.Cancelled {
		return storage.Cancelled
	}
	return storage.Done
}

// Entry is one archived job.
type Entry struct {
	Number JobNumber
	FinalState
}

// Page holds the archived jobs with numbers above Lower up to Upper, in order.
type Page struct {
	Lower, Upper JobNumber
	Entries      []Entry
}
