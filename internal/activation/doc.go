// Package activation decides when a model that receives no requests is scaled to zero, and when it is
// started again. A start from zero is called a wake. Each wake begins a new generation of the model, and
// however many requests ask for the model, they cause only one wake.
//
// The lifecycle of a model is one durable record, which the leader changes by the pure transition
// functions of this package. The leader writes each change before it acts on the change. The write is
// conditional on the leadership and on the revision of the record.
//
// The package also defines the messages in which controllers send wake requests and report their usage of
// models, and the leader's view of this usage. The package does no I/O.
package activation
