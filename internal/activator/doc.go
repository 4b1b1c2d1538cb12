// Package activator serves requests for models at each controller: it sends the leader wake requests for models that
// have no ready replica, holds requests while a model starts, forwards them once it is ready, and reports the usage
// of models to the leader.
package activator
