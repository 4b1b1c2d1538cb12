// Package protocol converts between the types of the external interfaces and the domain types, and validates input.
// The interfaces are the JSON APIs of users, workers, the cloud and the key-value store, and the settings and
// properties files.
//
// The names that these interfaces define for fields and values appear in struct tags, constants, lookup tables and
// error texts. All other code uses the terms of the domain.
package protocol
