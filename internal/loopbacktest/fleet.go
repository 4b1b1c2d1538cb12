package loopbacktest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// Keys of the key-value store that Fleet reads.
const (
	leadershipKey = "lead"            // record of the current leader
	clusterKey    = "upgrade/cluster" // cluster record: the active version and the state of the feature gates
)

// Fleet is a set of controllers with the stand-ins that they use, and the HTTP client of their users.
type Fleet struct {
	Controllers []*Controller
	Store       *KeyValueStore
	Workers     *Workers
	Cloud       *Cloud
	Traffic     *Traffic

	options   Options
	dir       string // directory for settings, properties and logs
	servers   []*http.Server
	serving   sync.WaitGroup
	client    *http.Client
	stateAddr string
	cloudAddr string
	closed    bool

	nextController atomic.Int64 // round-robin counter that spreads users' requests, as a load balancer does
}

// NewFleet starts the stand-ins of a fleet and chooses the controllers' addresses. It does not start the controllers; the
// caller does so with Start. The controllers' files are written to dir. The caller must call Close at the end.
func NewFleet(dir string, options Options) (*Fleet, error) {
	traffic := newTraffic()
	f := &Fleet{options: options, dir: dir, Traffic: traffic, Store: newKeyValueStore(traffic), client: newUserClient()}
	f.Store.Service.Update(func(s *storagetest.Service) {
		s.ValueBytes, s.TxnOps = int(options.ValueKB*1024), options.TxnOps
	})
	var names, addrs []string
	for i := range options.Controllers {
		c, err := newController(fmt.Sprintf("node-%d", i))
		if err != nil {
			return nil, err
		}
		f.Controllers = append(f.Controllers, c)
		names, addrs = append(names, c.Name), append(addrs, c.UsersAddr)
	}
	var err error
	if f.Workers, err = newWorkers(options.Timing, options.Teams, names, addrs, traffic); err != nil {
		return nil, err
	}
	f.Cloud = newCloud(f.Workers, &options)
	f.Cloud.createInitialMachines(options.Workers)
	if err := f.serveStandIns(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// serveStandIns starts the HTTP servers of the key-value store and the cloud.
func (f *Fleet) serveStandIns() (err error) {
	if f.stateAddr, err = f.serve(f.Store.handler()); err != nil {
		return err
	}
	f.cloudAddr, err = f.serve(f.Cloud.handler())
	return err
}

// serve starts an HTTP server for a handler and returns the server's address. Close stops the server.
func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	f.servers = append(f.servers, server)
	f.serving.Go(func() { _ = server.Serve(l) }) // returns ErrServerClosed after Close
	return l.Addr().String(), nil
}

// Close kills all controllers and stops the stand-ins. A second call does nothing.
func (f *Fleet) Close() {
	if f.closed {
		return
	}
	f.closed = true
	for _, c := range f.Controllers {
		c.Kill()
	}
	f.Workers.Close()
	f.Store.Service.Close()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.serving.Wait()
}

// ClusterRecord returns the cluster record, or the initial record if the key can't be read.
func (f *Fleet) ClusterRecord(ctx context.Context) (upgrade.Record, error) {
	item, err := f.Store.client().Get(ctx, clusterKey)
	if err != nil {
		return upgrade.Initial(), nil //nolint:nilerr // none is stored yet
	}
	return upgrade.DecodeRecord(item.Key, item.Data)
}

// Leader returns the controller that the leadership key names. It returns nil if the key can't be read, or if the named
// controller has no running process.
func (f *Fleet) Leader(ctx context.Context) *Controller {
	item, err := f.Store.client().Get(ctx, leadershipKey)
	if err != nil {
		return nil
	}
	var leadership struct {
		Node string `json:"n"`
	}
	if json.Unmarshal(item.Data, &leadership) != nil {
		return nil
	}
	for _, c := range f.Controllers {
		if c.Name == leadership.Node && c.process != nil {
			return c
		}
	}
	return nil
}
