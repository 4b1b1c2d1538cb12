// Package upgrade decides which features a fleet of controllers of different versions may use.
//
// Each controller stores a registration with the range of versions that it can read and write. The
// leader maintains one durable record, the cluster record, which changes only by the pure transition
// functions of this package:
//
//   - Once every controller supports a version, the leader activates the version and opens the feature
//     gates that this version adds.
//   - When a controller is rolled back to an older version, the leader withdraws the gates that this
//     controller lacks: it allows no new uses of these gates, and closes a gate once its existing uses have
//     ended. The leader then lowers the active version.
//   - When the operators' policy allows it, the leader finalizes the active version. Controllers of lower
//     versions are then refused, and the version can't be rolled back any more.
//
// The package does no I/O. The caller reads the registrations and the record, calls NextStep, and stores
// the record of the step that NextStep returns.
package upgrade
