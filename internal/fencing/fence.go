package fencing

// MaxRetained is how many ended attempts a worker may have to retain. At that number no attempt is
// started by a direct command, so that the worker's heartbeat stays well under the 64 KiB of a
// request.
const MaxRetained = 256

// forcedRaiseWindows is after how many windows of retained attempts the token is raised even while
// direct commands are unanswered. The worker rejects those that arrive after the raise.
const forcedRaiseWindows = 2

// Fence is a leader's view of one worker's fencing token and of the ended attempts, each identified
// by a key K, that the worker must retain. It is not safe for concurrent use.
type Fence[K comparable] struct {
	tokens   Tokens
	token    uint64       // the token of commands to the worker
	observed uint64       // the highest token seen in a heartbeat
	retained map[K]uint64 // ended attempts, with the token of the last command that may start each
}

// New returns the fence of a worker of which nothing is known yet in the term that owns the tokens.
func New[K comparable](tokens Tokens) *Fence[K] {
	return &Fence[K]{tokens: tokens, token: tokens.First, retained: make(map[K]uint64)}
}

// Token returns the token of commands to the worker.
func (f *Fence[K]) Token() uint64 { return f.token }

// ObserveToken records the token in a heartbeat, which must be newer than all heartbeats before it.
// Commands with lower tokens can't be carried out any more, so attempts that only they could start
// need not be retained.
func (f *Fence[K]) ObserveToken(token uint64) {
	if token <= f.observed {
		return
	}
	f.observed = token
	if f.tokens.Contains(token) {
		f.token = max(f.token, token)
	}
	for attempt, started := range f.retained {
		if started < token {
			delete(f.retained, attempt)
		}
	}
}

// Retain makes the worker retain an ended attempt for as long as the direct command that started it
// could be carried out again. started is the token of that command.
func (f *Fence[K]) Retain(attempt K, started uint64) {
	if started >= f.observed {
		f.retained[attempt] = started
	}
}

// MustRetain reports whether the worker must retain an attempt.
func (f *Fence[K]) MustRetain(attempt K) bool {
	_, retained := f.retained[attempt]
	return retained
}

// Retained returns how many ended attempts the worker must retain.
func (f *Fence[K]) Retained() int { return len(f.retained) }

// Full reports whether so many attempts are retained that none may be started directly.
func (f *Fence[K]) Full() bool { return len(f.retained) >= MaxRetained }

// IncarnationEnded drops all retained attempts: the worker has begun a later incarnation, which
// rejects commands to the earlier ones.
func (f *Fence[K]) IncarnationEnded() { clear(f.retained) }

// Exhausted reports whether the term has no higher token for the worker.
func (f *Fence[K]) Exhausted() bool { return f.token == f.tokens.Last }

// RaiseIfDue raises the token and reports whether it did. A raise is due once the worker must retain
// at least window attempts; while direct commands are unanswered, it is put off until that is true
// of two windows. The token is raised only after a heartbeat has shown the present one.
func (f *Fence[K]) RaiseIfDue(window int, commandsUnanswered bool) bool {
	due := len(f.retained) >= window && (!commandsUnanswered || len(f.retained) >= forcedRaiseWindows*window)
	if !due || f.observed < f.token || f.Exhausted() {
		return false
	}
	f.token++
	return true
}
