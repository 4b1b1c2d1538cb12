package loopbacktest

// SetUnresponsive makes a share of the machines unresponsive, or responsive again, and returns their number. The
// selection depends only on the machines' IDs.
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

// inShare reports whether an ID belongs to a share of all IDs. The IDs of a share are evenly spread.
func inShare(id int, share float64) bool {
	return int(float64(id+1)*share) > int(float64(id)*share)
}

// DeleteZone deletes all machines of a zone with their attempts, and returns their number. The machine list no longer
// contains them.
func (w *Workers) DeleteZone(zone string) (lost int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.zone == zone && !m.deleted {
			w.deleteMachine(m)
			lost++
		}
	}
	return lost
}
