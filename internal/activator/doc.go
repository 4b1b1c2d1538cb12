// Package activator serves requests for models at each controller. It sends wake requests to the leader for models
// without a ready replica, holds requests while a model starts, forwards them once the model is ready, and reports the
// usage of models to the leader.
package activator
