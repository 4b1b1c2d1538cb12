package loopbacktest

// SetUnresponsive makes a share of the machines unresponsive, or responsive again, and returns the number of these
// machines. It selects machines by their IDs only, so that two calls with the same share select the same machines.
func (w *Workers) SetUnresponsive(share float64, unresponsive bool) (affected int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, m := range w.machines {
		if inShare(id, share) && !m.deleted {
			m.unresponsive = unresponsive
			affected++
		}
	}
	return affected
}

// inShare reports whether an ID is in the given share of all IDs. The IDs in the share are evenly spread.
func inShare(id int, share float64) bool {
	return int(float64(id+1)*share) > int(float64(id)*share)
}

// DeleteZone deletes all machines of a zone with their attempts, and returns the number of these machines. The cloud's
// machine list no longer contains them.
func (w *Workers) DeleteZone(zone string) (deleted int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.zone == zone && !m.deleted {
			w.deleteMachine(m)
			deleted++
		}
	}
	return deleted
}
