package scheduler

import (
	"context"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/peer"
	"sagevale/internal/worker"
)

// WorkerLink sends commands straight to workers.
type WorkerLink interface {
	// SendCommands sends commands to the worker with an address, under a fencing token and for one incarnation of the
	// worker. It sends nothing after sendBy, because the sender may have lost leadership by then; zero is no limit. The
	// report is the worker's response, or nil.
	SendCommands(ctx context.Context, addr string, token, incarnation uint64, commands []worker.Command, sendBy time.Time) (worker.Outcome, *worker.Report)
}

// PeerLink is the connections to the other controllers.
type PeerLink interface {
	// Forward sends a user's request to a controller; an error means that no response came.
	Forward(ctx context.Context, node string, req api.Request) (api.Response, error)
	// ForwardHeartbeats sends workers' heartbeats to a controller, which answers each.
	ForwardHeartbeats(ctx context.Context, node string, reports []*worker.Report) ([]worker.HeartbeatResponse, error)
	// Wake tells a controller of demand for a model; an error means that no response came.
	Wake(ctx context.Context, node string, req activation.WakeRequest) (activation.WakeResponse, error)
	// ReportUsage tells a controller how models are used here; an error means that no response came.
	ReportUsage(ctx context.Context, node string, report activation.UsageReport) (activation.UsageResponse, error)
	// Status returns a controller's latest status; ok is false if there is none.
	Status(node string) (w peer.ObservedStatus, ok bool)
	// UnreachableFor returns for how long a controller has been unreachable; 0: it is reachable.
	UnreachableFor(node string) time.Duration
	// KnownLeader returns the leader with the highest term in the recent statuses of the peers; 0: none.
	KnownLeader() (leader string, term uint64)
}
