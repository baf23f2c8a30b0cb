package peer

import "oriolevalve/pkg/flow"

// urgency orders news of different kinds.
type urgency uint8

const (
	// urgent news is about dead and leaving members.
	urgent urgency = iota
	// normal news is about other members, and about health, relay flag and
	// owner of targets.
	normal
	// background news is about the load of targets. It waits for all other
	// news, since load is only a hint.
	background
	urgencies
)

type newsKey struct {
	member string
	target flow.TargetID
}

type news struct {
	key     newsKey
	update  Update
	urgency urgency
	sent    int
	// lost counts the transmissions in messages that got no answer.
	lost int
	// replaced is set when newer news with the same key was added.
	replaced bool
}

// queue selects the updates that are sent along with messages. News with the
// same key replaces older news, so the queue is never longer than members and
// targets.
type queue struct {
	current map[newsKey]*news
	// pressing counts the news that is not in the background.
	pressing int
	// waiting holds the news by urgency and by number of transmissions.
	waiting [urgencies][][]*news
}

func newQueue() *queue { return &queue{current: map[newsKey]*news{}} }

func (q *queue) add(update Update, u urgency) {
	n := &news{update: update, urgency: u}
	if update.Member != nil {
		n.key.member = update.Member.ID
	} else {
		n.key.target = update.Status.Target
	}
	if old := q.current[n.key]; old != nil {
		old.replaced = true
		q.uncount(old)
		// A change of load must not delay news of health that still spreads.
		if old.sent == 0 && old.urgency < n.urgency {
			n.urgency = old.urgency
		}
	}
	q.current[n.key] = n
	if n.urgency != background {
		q.pressing++
	}
	q.push(n)
}

func (q *queue) uncount(n *news) {
	if n.urgency != background {
		q.pressing--
	}
}

func (q *queue) push(n *news) {
	levels := &q.waiting[n.urgency]
	for len(*levels) <= n.sent {
		*levels = append(*levels, nil)
	}
	(*levels)[n.sent] = append((*levels)[n.sent], n)
}

// pop removes the least transmitted news among the given urgencies.
func (q *queue) pop(first, last urgency) *news {
	for u := first; u <= last; u++ {
		for level, waiting := range q.waiting[u] {
			for len(waiting) > 0 {
				n := waiting[0]
				waiting[0] = nil
				waiting = waiting[1:]
				q.waiting[u][level] = waiting
				if !n.replaced {
					return n
				}
			}
		}
	}
	return nil
}

// take returns at most limit updates: urgent news first, up to half of the
// limit while other news waits, and within an urgency the least transmitted
// first. The bound keeps refutations moving while a data centre dies. News
// that was transmitted as often as its urgency demands is dropped.
func (q *queue) take(limit int, transmissions func(urgency) int) []*news {
	var taken []*news
	for len(taken) < limit/2 {
		n := q.pop(urgent, urgent)
		if n == nil {
			break
		}
		taken = append(taken, n)
	}
	for _, from := range []urgency{normal, urgent} {
		for len(taken) < limit {
			n := q.pop(from, background)
			if n == nil {
				break
			}
			taken = append(taken, n)
		}
	}
	for _, n := range taken {
		n.sent++
		if n.sent-n.lost >= transmissions(n.urgency) {
			delete(q.current, n.key)
			q.uncount(n)
			continue
		}
		q.push(n)
	}
	return taken
}

// returned takes note that a message with the news got no answer. While a data
// centre is cut off most pings of the smaller side are lost, and news would run
// out of transmissions before it has spread.
func (q *queue) returned(taken []*news) {
	for _, n := range taken {
		n.lost++
		if !n.replaced && q.current[n.key] == nil {
			q.current[n.key] = n
			if n.urgency != background {
				q.pressing++
			}
			q.push(n)
		}
	}
}
