package peer

import "time"

type timings struct {
	pingInterval  time.Duration
	pingTimeout   time.Duration
	suspectTime   time.Duration
	pauseGap      time.Duration
	reconnect     time.Duration
	forget        time.Duration
	publish       time.Duration
	syncMinimum   time.Duration
	syncRate      float64
	refreshShare  float64
	updateLimit   int
	indirectPings int
	startingPings int
	seed          uint64
	seeds         []Member
}

func defaults() timings {
	return timings{
		pingInterval: 500 * time.Millisecond,
		// 200 ms is 100 round trips between data centres, and leaves 300 ms of
		// the interval for indirect pings.
		pingTimeout: 200 * time.Millisecond,
		suspectTime: 2 * time.Second,
		pauseGap:    1500 * time.Millisecond,
		reconnect:   5 * time.Second,
		forget:      time.Hour,
		publish:     time.Second,
		syncMinimum: 30 * time.Second,
		// 400 bytes/s is 8% of the budget of 5 KB/s.
		syncRate:      400,
		refreshShare:  0.25,
		updateLimit:   8,
		indirectPings: 2,
		startingPings: 16,
		seed:          1,
	}
}

// Option changes a default of NewMembership.
type Option func(*timings)

// WithSeed sets the seed of the random order of pings. Hosts need different
// seeds. The default is 1.
func WithSeed(seed uint64) Option { return func(t *timings) { t.seed = seed } }

// WithSeeds sets the members that a starting host asks besides those of the
// host list. They are retried for as long as the host runs.
func WithSeeds(seeds ...Member) Option { return func(t *timings) { t.seeds = seeds } }

// WithPingInterval sets the time between pings, by default 500 ms.
func WithPingInterval(d time.Duration) Option { return func(t *timings) { t.pingInterval = d } }

// WithPingTimeout sets the time after which a ping counts as failed and other
// members are asked to ping, by default 200 ms.
func WithPingTimeout(d time.Duration) Option { return func(t *timings) { t.pingTimeout = d } }

// WithSuspectTime sets the time from suspicion to death, by default 2 s.
func WithSuspectTime(d time.Duration) Option { return func(t *timings) { t.suspectTime = d } }

// WithReconnectInterval sets the time between pings to members that are dead
// or have never answered, by default 5 s.
func WithReconnectInterval(d time.Duration) Option { return func(t *timings) { t.reconnect = d } }

// WithForgetTime sets the time after which a dead member that is not on the
// host list is forgotten, by default 1 h.
func WithForgetTime(d time.Duration) Option { return func(t *timings) { t.forget = d } }

// WithPublishInterval sets the least time between two publications of a
// changed load, by default 1 s. Health and relay flag are published at once.
func WithPublishInterval(d time.Duration) Option { return func(t *timings) { t.publish = d } }

// WithUpdateLimit sets the highest number of updates in a message, by
// default 8.
func WithUpdateLimit(count int) Option { return func(t *timings) { t.updateLimit = count } }
