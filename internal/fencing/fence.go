package fencing

// MaxRetained is how many ended attempts a worker may have to remember. Beyond it nothing more is
// started on the worker directly, so that its report stays well under the 64 KiB of a request.
const MaxRetained = 256

// Fence is what a leader knows of one worker's token, and the ended attempts that the
// worker must remember, each by a key K. It is not safe for concurrent use.
type Fence[K comparable] struct {
	tokens   Tokens
	token    uint64       // the worker is commanded under this one
	shown    uint64       // the highest that a report has shown
	retained map[K]uint64 // ended attempts, with the token of the last command that may start each
}

// New returns the fence of a worker of which nothing is known in a term with these tokens.
func New[K comparable](tokens Tokens) *Fence[K] {
	return &Fence[K]{tokens: tokens, token: tokens.First, retained: make(map[K]uint64)}
}

// Token is the token to command the worker under.
func (f *Fence[K]) Token() uint64 { return f.token }

// ObserveToken takes in the token that a report shows; the report must be newer than all before
// it. Commands under lower tokens are dead from here on.
func (f *Fence[K]) ObserveToken(token uint64) {
	if token <= f.shown {
		return
	}
	f.shown = token
	if f.tokens.Contains(token) {
		f.token = max(f.token, token)
	}
	for attempt, started := range f.retained {
		if started < token {
			delete(f.retained, attempt)
		}
	}
}

// Retain has an ended attempt be remembered that was started directly under a token, for
// as long as that command may be carried out.
func (f *Fence[K]) Retain(attempt K, started uint64) {
	if started >= f.shown {
		f.retained[attempt] = started
	}
}

// MustRetain tells whether the worker must not be told to forget an attempt.
func (f *Fence[K]) MustRetain(attempt K) bool {
	_, retained := f.retained[attempt]
	return retained
}

// Retained is how many ended attempts the worker must remember.
func (f *Fence[K]) Retained() int { return len(f.retained) }

// Full tells that nothing more may be started directly.
func (f *Fence[K]) Full() bool { return len(f.retained) >= MaxRetained }

// IncarnationEnded takes in that the worker has begun a later session, in which commands to the
// earlier ones are dead.
func (f *Fence[K]) IncarnationEnded() { clear(f.retained) }

// Exhausted tells that the term has no higher token for the worker.
func (f *Fence[K]) Exhausted() bool { return f.token == f.tokens.Last }

// hastyWindows is how many windows of attempts a raise waits for until direct commands that
// are on their way have been answered: the worker refuses those that arrive after it.
const hastyWindows = 2

// RaiseIfDue raises the token if the worker must remember at least window attempts and has
// shown the present token. With commands on their way, it waits for a while.
func (f *Fence[K]) RaiseIfDue(window int, commandsOnTheirWay bool) bool {
	due := len(f.retained) >= window && (!commandsOnTheirWay || len(f.retained) >= hastyWindows*window)
	if !due || f.shown < f.token || f.Exhausted() {
		return false
	}
	f.token++
	return true
}
