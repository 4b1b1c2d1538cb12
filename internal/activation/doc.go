// Package activation decides when a model without requests is scaled to zero, and when it is started
// again. Each wake starts the model exactly once. The lifecycle of a model is one durable record,
// which the leader changes by the pure transitions of this package. Each change is written under
// the leader's fencing and the record's revision before anything depends on it.
//
// The package also has the messages between controllers about wakes and usage, and the leader's view
// of that usage. It does no input or output.
package activation
