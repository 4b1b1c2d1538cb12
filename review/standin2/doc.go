//go:build review

// Package standin2 holds the stand-ins of the second review: the state service, the cloud, the workers and the users, each
// as the protocol's page describes it, and the controllers as separate processes.
package standin2
