// Package upgrade decides which features a fleet of controllers of different versions may use.
//
// Each controller stores a registration with the range of versions that it can read and write. The
// leader maintains one durable record, the cluster record, which changes only by the pure transition
// functions of this package. The leader activates a version and opens its feature gates once every
// controller supports that version, withdraws the gates when a controller is rolled back to an older
// version, and finalizes the active version when the operators allow it. A finalized version can't be
// rolled back.
//
// The package does no I/O. The scheduler reads the registrations and the record, calls Next, and
// stores the record of the step that Next returns.
package upgrade
