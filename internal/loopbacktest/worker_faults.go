package loopbacktest

// SetUnresponsive makes a share of the machines unresponsive, or responsive again, and returns their number. The
// choice depends only on the machines' IDs.
func (w *Workers) SetUnresponsive(share float64, on bool) (affected int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, m := range w.machines {
		if inShare(id, share) && !m.deleted {
			m.unresponsive = on
			affected++
		}
	}
	return affected
}

// inShare reports whether an ID belongs to a share of all IDs, evenly spread.
func inShare(id int, share float64) bool {
	return int(float64(id+1)*share) > int(float64(id)*share)
}

// DeleteZone deletes all machines of a zone with their attempts, and returns their number. The cloud no longer lists
// them.
func (w *Workers) DeleteZone(zone string) (lost int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.zone == zone && !m.deleted {
			w.remove(m)
			lost++
		}
	}
	return lost
}
