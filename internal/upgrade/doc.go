// Package upgrade decides which features a fleet of controllers of several versions may use.
//
// Each controller stores a registration with the range of versions that it can read and write. The
// leader advances one durable record, the cluster record, by the pure transitions of this package:
// it activates a version and opens its feature gates once every controller supports it, withdraws
// the gates again when a controller is rolled back, and finalizes the version when the operators
// allow it. A finalized version can't be rolled back.
//
// The package does no input or output. The scheduler reads the registrations and the record, calls
// Next, and stores the step that Next returns.
package upgrade
