// Package protocol maps the interfaces that others define to the types of the domain, and checks what comes in:
// the JSON of users, workers, the cloud and the key-value store, and the files of settings and properties.
//
// The names that these interfaces use are in struct tags, in the tables of their values and in error texts that name
// a field. Everything else uses the terms of the domain.
package protocol
