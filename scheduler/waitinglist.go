package scheduler

// A waitingList is a set of queues that can be iterated over. To add or remove a queue costs the same
// however many there are.
type waitingList struct {
	queues []*queue
	index  map[*queue]int // in queues
}

// update adds a queue that waits, or removes one that does not.
func (l *waitingList) update(q *queue, waits bool) {
	i, found := l.index[q]
	switch {
	case waits && !found:
		if l.index == nil {
			l.index = map[*queue]int{}
		}
		l.index[q] = len(l.queues)
		l.queues = append(l.queues, q)
	case !waits && found:
		last := len(l.queues) - 1
		l.queues[i] = l.queues[last]
		l.index[l.queues[i]] = i
		l.queues[last] = nil
		l.queues = l.queues[:last]
		delete(l.index, q)
	}
}
