package scheduler

import (
	"context"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/peer"
	"sagevale/internal/worker"
)

// WorkerLink sends direct commands to workers.
type WorkerLink interface {
	// SendCommands sends commands to the worker at addr. The worker rejects them if it has seen a higher fencing token or
	// is in another incarnation. SendCommands sends nothing after sendBy, because the sender may have lost leadership by
	// then. If sendBy is zero, there is no such limit. The returned report is the worker's response, or nil if none arrived.
	SendCommands(ctx context.Context, addr string, token, incarnation uint64, commands []worker.Command, sendBy time.Time) (worker.CommandOutcome, *worker.Report)
}

// PeerLink sends requests to the other controllers and observes their statuses.
type PeerLink interface {
	// Forward sends a user's request to a controller. It returns an error if no response arrived.
	Forward(ctx context.Context, node string, req api.Request) (api.Response, error)
	// ForwardHeartbeats sends workers' heartbeats to a controller and returns one response to each.
	ForwardHeartbeats(ctx context.Context, node string, reports []*worker.Report) ([]worker.HeartbeatResponse, error)
	// Wake reports demand for a model to a controller. It returns an error if no response arrived.
	Wake(ctx context.Context, node string, req activation.WakeRequest) (activation.WakeResponse, error)
	// ReportUsage reports the usage of models at this controller to another one. It returns an error if no response
	// arrived.
	ReportUsage(ctx context.Context, node string, report activation.UsageReport) (activation.UsageResponse, error)
	// Status returns a controller's latest status. ok is false if there is none.
	Status(node string) (status peer.ObservedStatus, ok bool)
	// UnreachableFor returns how long a controller has been unreachable, or 0 if it is reachable.
	UnreachableFor(node string) time.Duration
	// KnownLeader returns a leader and its term. It chooses the leader with the highest term among the leaders that the
	// peers' recent statuses name. The term is 0 if no recent status names a leader.
	KnownLeader() (leader string, term uint64)
}
