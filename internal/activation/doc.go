// Package activation decides when a model that receives no requests is scaled to zero, and when it is
// started again. A start from zero is called a wake; each wake starts the model exactly once. The
// lifecycle of a model is one durable record, which the leader changes by the pure transition functions
// of this package. The leader writes each change, conditional on its leadership and on the revision of
// the record, before it acts on the change.
//
// The package also defines the messages that controllers exchange about wakes and usage, and the
// leader's view of that usage. It does no I/O.
package activation
