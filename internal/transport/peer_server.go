package transport

import (
	"bufio"
	"context"
	"encoding/gob"
	"log/slog"
	"net"
	"sync"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/clock"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

// PeerHandler handles the requests of other controllers. Its methods are called from several goroutines and must return
// soon after ctx ends.
type PeerHandler interface {
	// HandleForwardedRequest handles a user request or a ping that another controller has sent.
	HandleForwardedRequest(ctx context.Context, req api.Request) api.Response
	// HandleForwardedHeartbeats handles workers' heartbeats that another controller has forwarded. It returns one
	// response to each heartbeat, in the same order. It returns nil if this controller doesn't handle them, for example
	// because it isn't the leader.
	HandleForwardedHeartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse
	// HandleForwardedWake handles a wake request, which reports that another controller holds requests for a
	// model that isn't ready yet.
	HandleForwardedWake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse
	// HandleForwardedUsage handles a usage report, which lists the models for which another controller has had requests.
	HandleForwardedUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse
}

// ServePeers serves the requests of other controllers on l until ctx ends. It returns after all connections have been
// closed and all handlers have returned.
func ServePeers(ctx context.Context, l net.Listener, handler PeerHandler, log *slog.Logger) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			log.Error("peer accept failed", "error", err)
			if !clock.Sleep(ctx, peerRetryDelay) {
				return nil
			}
			continue
		}
		connections.Go(func() { servePeer(ctx, conn, handler, log) })
	}
}

// servePeer serves the requests on one connection until the connection fails or ctx ends, and then closes it.
func servePeer(ctx context.Context, conn net.Conn, handler PeerHandler, log *slog.Logger) {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	responses := make(chan any, peerQueueLength)
	goroutines.Go(func() {
		defer cancel()
		writeResponses(ctx, conn, responses)
	})
	decoder := gob.NewDecoder(conn)
	for {
		var req receivedRequest
		if err := decoder.Decode(&req); err != nil {
			log.Debug("peer disconnected", "error", err)
			return
		}
		goroutines.Add(1)
		go func() { //nolint:modernize // goroutines.Go would allocate memory for each request
			defer goroutines.Done()
			handlerCtx, cancelHandler := context.WithTimeout(ctx, peerTimeout)
			defer cancelHandler()
			select {
			case responses <- handlePeerRequest(handlerCtx, &req, handler):
			case <-ctx.Done():
			}
		}()
	}
}

// writeResponses sends responses until the connection fails or ctx ends. It flushes its buffer only when no further
// response is ready, so that responses that are ready at the same time are sent together.
func writeResponses(ctx context.Context, conn net.Conn, responses <-chan any) {
	writer := bufio.NewWriter(conn)
	encoder := gob.NewEncoder(writer)
	for {
		select {
		case <-ctx.Done():
			return
		case response := <-responses:
			// An error isn't logged here: it ends the connection, and servePeer logs the disconnection.
			if err := conn.SetWriteDeadline(time.Now().Add(2 * peerTimeout)); err != nil {
				return
			}
			if err := encoder.Encode(response); err != nil {
				return
			}
			if len(responses) > 0 {
				continue
			}
			if err := writer.Flush(); err != nil {
				return
			}
		}
	}
}

// handlePeerRequest passes a request to its handler and returns the message to send in response.
func handlePeerRequest(ctx context.Context, req *receivedRequest, handler PeerHandler) any {
	switch {
	case req.Wake != nil:
		response := handler.HandleForwardedWake(ctx, *req.Wake)
		return wakeAnswer{req.Serial, &response}
	case req.Usage != nil:
		response := handler.HandleForwardedUsage(ctx, *req.Usage)
		return usageAnswer{req.Serial, &response}
	case req.Reports != nil:
		responses := handler.HandleForwardedHeartbeats(ctx, wire.Reports(req.Reports))
		return peerAnswer{Serial: req.Serial, Beats: wire.FromHeartbeatResponses(responses)}
	}
	response := handler.HandleForwardedRequest(ctx, req.Req.Request())
	return peerAnswer{Serial: req.Serial, Answer: wire.FromResponse(&response)}
}
