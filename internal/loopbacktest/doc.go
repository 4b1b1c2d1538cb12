// Package loopbacktest runs controllers as real processes against stand-ins for the key-value
// store, the cloud and the workers, over HTTP on the loopback interface. The stand-ins
// implement the protocol as far as the tests need it. An audit log of the workers records
// which task ran on which machine and reports violations of the protocol's rules.
package loopbacktest
