package fencing

// MaxRetained is the maximum number of ended attempts that a worker may have to retain. While a worker must
// retain that many, no attempt is started on it by a direct command, that is, by a command outside of the
// responses to its heartbeats. The worker's heartbeat, which lists the retained attempts, thus stays well
// below the limit of 64 KiB on a request.
const MaxRetained = 256

// forcedRaiseWindows applies while direct commands to a worker are unanswered. RaiseIfDue then raises the
// token only once the worker must retain forcedRaiseWindows*window attempts. An earlier raise is avoided
// because the worker rejects the unanswered commands if they arrive after it has seen the raised token.
const forcedRaiseWindows = 2

// Fence holds the fencing token that one leader uses for one worker, and the ended attempts that this
// worker must retain. A key of type K identifies an attempt. Fence is not safe for concurrent use.
type Fence[K comparable] struct {
	tokens   Tokens
	token    uint64       // the token of commands to the worker
	observed uint64       // the highest token seen in a heartbeat
	retained map[K]uint64 // ended attempts, with the token of the last command that may start each
}

// New returns the fence of a worker at the start of the term that owns the tokens.
func New[K comparable](tokens Tokens) *Fence[K] {
	return &Fence[K]{tokens: tokens, token: tokens.First, retained: make(map[K]uint64)}
}

// Token returns the fencing token that commands to the worker must carry.
func (f *Fence[K]) Token() uint64 { return f.token }

// ObserveToken records the token that a heartbeat contains. The heartbeat must be newer than all
// heartbeats observed before. The worker no longer carries out commands with lower tokens. Attempts that
// only such commands could start need not be retained any more.
func (f *Fence[K]) ObserveToken(token uint64) {
	if token <= f.observed {
		return
	}
	f.observed = token
	if f.tokens.Contains(token) {
		f.token = max(f.token, token)
	}
	for attempt, startToken := range f.retained {
		if startToken < token {
			delete(f.retained, attempt)
		}
	}
}

// Retain records that the worker must retain an ended attempt. The worker must do so for as long as it
// may still carry out another copy of the direct command that started the attempt. startToken is the
// token of that command.
func (f *Fence[K]) Retain(attempt K, startToken uint64) {
	if startToken >= f.observed {
		f.retained[attempt] = startToken
	}
}

// MustRetain reports whether the worker must retain an attempt.
func (f *Fence[K]) MustRetain(attempt K) bool {
	_, retained := f.retained[attempt]
	return retained
}

// Retained returns how many ended attempts the worker must retain.
func (f *Fence[K]) Retained() int { return len(f.retained) }

// Full reports whether so many attempts are retained that none may be started by a direct command.
func (f *Fence[K]) Full() bool { return len(f.retained) >= MaxRetained }

// DropRetained drops all retained attempts. It must be called when the worker has begun a later
// incarnation, because the worker then rejects commands for its earlier incarnations.
func (f *Fence[K]) DropRetained() { clear(f.retained) }

// Exhausted reports whether the term has no higher token for the worker.
func (f *Fence[K]) Exhausted() bool { return f.token == f.tokens.Last }

// RaiseIfDue raises the token if a raise is due and possible, and reports whether it has done so. A raise
// is due once the worker must retain at least window attempts. While direct commands are unanswered, it
// is due only at forcedRaiseWindows times as many attempts. A raise is possible only once a heartbeat has
// contained the current token, and only while the term has a higher token.
func (f *Fence[K]) RaiseIfDue(window int, commandsUnanswered bool) bool {
	due := len(f.retained) >= window && (!commandsUnanswered || len(f.retained) >= forcedRaiseWindows*window)
	if !due || f.observed < f.token || f.Exhausted() {
		return false
	}
	f.token++
	return true
}
