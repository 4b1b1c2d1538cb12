package transport

import (
	"bufio"
	"context"
	"encoding/gob"
	"log/slog"
	"net"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/clock"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

// PeerHandler is what answers the other nodes.
type PeerHandler interface {
	HandleForwardedRequest(ctx context.Context, req api.Request) api.Response
	HandleForwardedHeartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse
	HandleForwardedWake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse
	HandleForwardedUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse
}

// answerOf has a message answered.
func answerOf(ctx context.Context, ask *receivedAsk, local PeerHandler) any {
	switch {
	case ask.Wake != nil:
		response := local.HandleForwardedWake(ctx, *ask.Wake)
		return wakeAnswer{ask.Serial, &response}
	case ask.Usage != nil:
		response := local.HandleForwardedUsage(ctx, *ask.Usage)
		return usageAnswer{ask.Serial, &response}
	case ask.Reports != nil:
		return peerAnswer{Serial: ask.Serial, Beats: wire.FromHeartbeatResponses(local.HandleForwardedHeartbeats(ctx, wire.Reports(ask.Reports)))}
	}
	response := local.HandleForwardedRequest(ctx, ask.Req.Request())
	return peerAnswer{Serial: ask.Serial, Answer: wire.FromResponse(&response)}
}

// ServePeers answers the other nodes' requests on l until ctx ends.
func ServePeers(ctx context.Context, l net.Listener, local PeerHandler, log *slog.Logger) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			log.Error("peer not accepted", "err", err)
			if !clock.Sleep(ctx, peerPause) {
				return nil
			}
			continue
		}
		go servePeer(ctx, conn, local, log)
	}
}

func servePeer(ctx context.Context, conn net.Conn, local PeerHandler, log *slog.Logger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	answers := make(chan any, answerQueue)
	go func() {
		defer cancel()
		out := bufio.NewWriter(conn)
		enc := gob.NewEncoder(out)
		for {
			select {
			case <-ctx.Done():
				return
			case a := <-answers:
				if err := conn.SetWriteDeadline(time.Now().Add(2 * peerTimeout)); err != nil {
					return
				}
				if err := enc.Encode(a); err != nil {
					return
				}
				if len(answers) > 0 {
					continue // they go together
				}
				if err := out.Flush(); err != nil {
					return
				}
			}
		}
	}()
	dec := gob.NewDecoder(conn)
	for {
		var ask receivedAsk
		if err := dec.Decode(&ask); err != nil {
			log.Debug("peer has gone", "err", err)
			return
		}
		go func() {
			actx, done := context.WithTimeout(ctx, peerTimeout)
			defer done()
			select {
			case answers <- answerOf(actx, &ask, local):
			case <-ctx.Done():
			}
		}()
	}
}
