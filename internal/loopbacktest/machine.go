package loopbacktest

import (
	"net"
	"time"
)

// machineTypeName is the only machine type of the cloud.
const machineTypeName = "cpu"

// machine is one cloud instance and its simulated worker, which implements the worker's
// protocol and simulates tasks with timers. Workers.mu guards it.
type machine struct {
	id             int
	name           string
	addr           string // host and port of the worker
	typeName       string
	zone           string
	spot           bool
	createdAt      time.Time
	booted         bool
	deleted        bool
	unresponsive   bool      // sends no heartbeats and accepts no commands
	incarnation    uint64    // 1 after booting; incremented when the lease expires
	sequence       uint64    // number of the latest heartbeat
	token          uint64    // the highest fencing token received
	leaseRenewedAt time.Time // start of the worker's current lease
	attempts       map[attemptID]*attempt
	changed        chan struct{} // wakes the heartbeat loop
	controller     int           // index of the controller that receives the heartbeats
	retryAt        time.Time     // no heartbeat is sent before this time
	lastHeartbeat  time.Time
}

// addMachine creates a machine that is not booted yet, with its own loopback address. w.mu must be held.
func (w *Workers) addMachine(id int, name, typeName, zone string, spot bool) *machine {
	m := &machine{
		id: id, name: name, typeName: typeName, zone: zone, spot: spot, createdAt: time.Now(),
		addr:     net.JoinHostPort(net.IPv4(127, byte(1+id>>16), byte(id>>8), byte(id)).String(), w.port),
		attempts: make(map[attemptID]*attempt), changed: make(chan struct{}, 1), controller: id % len(w.controllerAddrs),
	}
	w.machines[id], w.byAddr[m.addr] = m, m
	return m
}

// bootAfter boots a machine after a delay, unless the machine is deleted or the workers are closed first.
func (w *Workers) bootAfter(m *machine, delay time.Duration) {
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.deleted || w.isClosed() {
			return
		}
		m.booted, m.incarnation, m.leaseRenewedAt = true, 1, time.Now()
		w.background.Go(func() { w.runHeartbeats(m) })
	})
}

// deleteMachine deletes a machine with all its attempts. w.mu must be held.
func (w *Workers) deleteMachine(m *machine) {
	m.deleted = true
	for _, a := range m.attempts {
		a.running = false
		w.audit.removeAttempt(a)
	}
	delete(w.byAddr, m.addr)
	m.signalChange()
}

// signalChange wakes the machine's heartbeat loop.
func (m *machine) signalChange() {
	select {
	case m.changed <- struct{}{}:
	default: // a signal is pending already
	}
}
