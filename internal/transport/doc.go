// Package transport implements the network protocols of a controller: the HTTP server for users and workers, the HTTP
// clients of the key-value store, the cloud and the workers, and the gob connections between controllers.
package transport
