package groupcommit

// lane is a queue of the entities of one lane that wait for a commit. Marks are numbered. An entity
// has the number of its first mark since it was last taken into a commit.
type lane struct {
	waiting     map[string]entity // by key
	order       []entity          // oldest mark first; includes entities that have moved to another lane since
	lastMark    uint64            // number of the last mark
	lastTaken   uint64            // marks up to this one were taken into a commit
	lastDurable uint64            // marks up to this one are durable
}

// entity is an entity that waits for a commit.
type entity struct {
	key  string
	mark uint64
	data func() any // returns the value to write, or nil to remove the entity
}

// add adds an entity that isn't waiting in the lane yet, and returns its mark.
func (l *lane) add(key string, data func() any) (mark uint64) {
	l.lastMark++
	e := entity{key: key, mark: l.lastMark, data: data}
	l.waiting[key] = e
	l.order = append(l.order, e)
	return e.mark
}

// oldest returns the oldest entity with the data of its last mark. The entity must still be waiting in the
// lane: skipMoved ensures that.
func (l *lane) oldest() entity { return l.waiting[l.order[0].key] }

// takeOldest removes the oldest entity from the lane, as taken into a commit.
func (l *lane) takeOldest() {
	delete(l.waiting, l.order[0].key)
	l.skipOldest()
}

// skipMoved drops the oldest entries of order as long as their entities have moved to another lane.
func (l *lane) skipMoved() {
	for len(l.order) > 0 {
		oldest := l.order[0]
		if e, waits := l.waiting[oldest.key]; waits && e.mark == oldest.mark {
			return
		}
		l.skipOldest()
	}
}

// skipOldest drops the oldest entry of order and counts its mark as taken.
func (l *lane) skipOldest() {
	l.lastTaken = l.order[0].mark
	l.order = l.order[1:]
}
