package packet

import "time"

// The belief about a target that follows from the packets of its flows.
const (
	// silenceLimit is the time without progress on any flow, after a client
	// repeated data, until a target gets no new flows. A client's first two
	// repeats come after 200 ms and 600 ms; one alone may mean a long request.
	silenceLimit = 500 * time.Millisecond
	// silenceRetry is the time after which a silent target is tried again.
	silenceRetry = 3 * time.Second
	// responseWeight is the weight of a new response time in the mean, the usual
	// value of TCP's estimator (RFC 6298).
	responseWeight = 1.0 / 8
	// deadLimit, deadFlows and deadAnswers say when a target counts as dead for its
	// open flows: no progress for that long, after so many flows repeated packets,
	// while that many flows which opened later were answered by others. The latter
	// shows that the host itself is neither behind nor cut off. A client's second
	// repeat comes after 600 ms.
	deadLimit   = 600 * time.Millisecond
	deadFlows   = 3
	deadAnswers = 3
	// deadRetention is the time after the last repeat for which a target counts as dead. A
	// client repeats a packet after 1.6 s at most, so what was lost in a cut speaks against
	// the target for less than the 4 s in which the platform forgives a wrong belief.
	deadRetention = 2 * time.Second
	// probeInterval is the time after which a packet to a target without signs of
	// life is forwarded whatever is believed, so that a target that is back shows:
	// a tenth of the 4 s in which the platform forgives a wrong belief after a cut.
	// probeWait is the time for its answer, several round trips between data centres.
	probeInterval = 400 * time.Millisecond
	probeWait     = 150 * time.Millisecond
	// responseMemory is the time after the last response for which the mean response time
	// counts. A target that was slow once would get no flows in quiet times, and nothing would
	// show that it is fast again.
	responseMemory = 5 * time.Second
	// coldFactor is the load of a target in its warm-up against a warm one.
	coldFactor = 2.0
	// activeWeight is the weight of a request in progress against that of an open
	// flow: most open flows are between two requests.
	activeWeight = 4.0
)

// targetRecord is what the plane knows of a target. It outlives views.
type targetRecord struct {
	Target
	distance Distance
	// dataCentre is that of the target; nil for the host's own one, which is never
	// given up as a whole.
	dataCentre *dataCentreRecord
	// life counts the starts of the target that the plane saw.
	life uint32
	// open is the number of flows, active that of flows that wait for a response.
	open, active int
	// openWeight and activeWeight are the same with the weights of the flows.
	openWeight, activeWeight int
	// speed is what was learned of the target's speed.
	speed speed
	// silentSince is the time of the first repeat since the last progress; zero
	// if there was none.
	silentSince time.Duration
	repeats     int
	// repeaters is the number of flows that repeated packets since then.
	repeaters int
	// repeatedAt is the time of the last repeat, on which all that follows rests.
	repeatedAt time.Duration
	// dead is set from the time at which the target counted as dead until its next
	// sign of life, or until the last repeat is old; probed is the time of the last
	// packet that tests it.
	dead   bool
	probed time.Duration
	// deadExpired is set if the belief has ended only because it was old, and that was not
	// reported yet.
	deadExpired bool
	// unanswered is set if a client repeated an opening packet since the last
	// progress. A target answers those at once, however busy it is.
	unanswered bool
	// doubted is set while the plane's last change of belief was to silence.
	doubted bool
	// answeredAt is the time of the last sign of life; zero if there was none.
	answeredAt time.Duration
	// retried is set if the last silence ended only because it was long.
	retried bool
	// recent is the number of new flows, fading over recentSpan; counted is the
	// time up to which it has faded.
	recent  float64
	counted time.Duration
	// response is the mean response time; zero before the first. respondedAt is the time of the
	// last response.
	response, respondedAt time.Duration
	// entry is that of the view; nil if the view has none. ownsTag is set if the target's tag
	// leads to it.
	entry   *Target
	ownsTag bool
	// openedAt is the time of the last new flow; zero if there was none.
	openedAt time.Duration
	// returning is set while the targets of an evacuated data centre come back.
	returning *dataCentreReturn
	// suspicion is what questions to the target itself showed.
	suspicion suspicion
	warmUpGuard
}

// startAgain forgets what was learned of the target's former life: its flows are gone,
// and it is neither silent nor loaded.
func (t *targetRecord) startAgain() {
	*t = targetRecord{Target: t.Target, life: t.life + 1, doubted: t.doubted, entry: t.entry}
}

// progress notes a sign of life.
func (t *targetRecord) progress(now time.Duration) {
	t.forget()
	t.answeredAt = now
	t.retried, t.dead = false, false
	t.suspicion.progress()
	if t.dataCentre != nil {
		t.dataCentre.progress()
	}
}

// forget drops what speaks for silence.
func (t *targetRecord) forget() {
	t.silentSince, t.repeats, t.repeaters, t.unanswered = 0, 0, 0, false
}

// avoided reports whether the target or its data centre seems dead.
func (t *targetRecord) avoided(now time.Duration) bool {
	return t.silent(now) || t.unreachable(now) || t.suspicion.avoided(now)
}

// unreachable reports whether the target's whole data centre seems cut off.
func (t *targetRecord) unreachable(now time.Duration) bool {
	return t.dataCentre != nil && t.dataCentre.unreachable(now)
}

// repeat notes that the client of a flow repeated a packet that the target did not
// answer.
func (t *targetRecord) repeat(now time.Duration, f *flowRecord) {
	t.expireSilence(now)
	t.expireDead(now)
	t.repeats++
	t.repeatedAt = now
	if t.silentSince == 0 {
		t.silentSince = now
	}
	if f.repeated < t.silentSince || f.repeated == 0 {
		t.repeaters++
	}
	f.repeated = now
}

// seemsDead reports whether a target has to count as dead, if deadAnswers flows that
// opened at the given time or later were answered. It is asked of silent targets.
func (t *targetRecord) seemsDead(now, answered time.Duration) bool {
	return now-t.silentSince >= deadLimit && now-t.repeatedAt <= deadRetention && t.repeaters >= deadFlows && answered > t.silentSince && !t.unreachable(now)
}

// recentFlows returns the number of recent new flows.
func (t *targetRecord) recentFlows(now time.Duration) float64 {
	t.recent -= share(now-t.counted, recentSpan) * t.recent
	t.counted = now
	return t.recent
}

// opened notes a new flow, whose client has a request to make.
func (t *targetRecord) opened(now time.Duration, weight int) {
	t.recent = t.recentFlows(now) + 1
	t.openedAt = now
	t.open++
	t.active++
	t.openWeight += weight
	t.activeWeight += weight
}

// expireSilence forgets a silence that has lasted for long, so that the target is tried again.
func (t *targetRecord) expireSilence(now time.Duration) {
	if t.silentSince != 0 && now-t.silentSince > silenceRetry {
		t.forget()
		t.retried = true
	}
}

// expireDead ends the belief that the target is dead if nothing has spoken for it of late: the
// host may have no flows that would show a sign of life.
func (t *targetRecord) expireDead(now time.Duration) {
	if t.dead && now-t.repeatedAt > deadRetention {
		t.dead, t.deadExpired = false, true
	}
}

// silent reports whether the target seems dead.
func (t *targetRecord) silent(now time.Duration) bool {
	t.expireSilence(now)
	if t.silentSince == 0 {
		return false
	}
	return t.unanswered || t.repeats >= 2 && now-t.silentSince >= silenceLimit
}

// answeredSince reports whether the target gave a sign of life after a time, and still seems to
// live.
func (t *targetRecord) answeredSince(opened, now time.Duration) bool {
	return t.answeredAt > opened && !t.avoided(now)
}

func (t *targetRecord) answered(now, after time.Duration) {
	t.progress(now)
	old := now-t.respondedAt > responseMemory
	t.respondedAt = now
	if t.response == 0 || old {
		t.response = after
		return
	}
	t.response += time.Duration(responseWeight * float64(after-t.response))
}

// load returns the cost of a new flow at the target; mean is the mean response
// time of the service's targets.
func (t *targetRecord) load(now, mean time.Duration) float64 {
	load := ((float64(t.openWeight)+activeWeight*float64(t.activeWeight))/flowUnit + 1) / float64(t.Slots)
	if t.speed.loadFactor > 0 {
		load *= t.speed.loadFactor
		mean = time.Duration(float64(mean) * t.speed.timeFactor)
	}
	if mean > 0 && t.response > mean && now-t.respondedAt <= responseMemory {
		load *= float64(t.response) / float64(mean)
	}
	if now < t.WarmUpEnd {
		load *= coldFactor
	}
	return load
}
