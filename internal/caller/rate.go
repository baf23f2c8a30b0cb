package caller

import (
	"math"
	"sync"
	"time"

	"oriolevalve/pkg/flow"

	"golang.org/x/time/rate"
)

// rateKey names the bucket of a caller. Buckets are per service, because each
// service sets its own rate.
type rateKey struct {
	service flow.ServiceID
	caller  string
}

// sweepInterval bounds the cost of looking for unused buckets in a full table.
const sweepInterval = time.Second

// rateTable holds one token bucket per caller, up to a bound. Callers beyond it
// share one bucket per service, so a caller that changes its name for each
// request can neither fill the memory nor get around the limit for long.
type rateTable struct {
	mutex     sync.Mutex
	bound     int
	buckets   map[rateKey]*rate.Limiter
	shared    map[flow.ServiceID]*rate.Limiter
	nextSweep time.Time
}

func newRateTable(bound int) *rateTable {
	return &rateTable{bound: bound, buckets: map[rateKey]*rate.Limiter{}, shared: map[flow.ServiceID]*rate.Limiter{}}
}

// allow takes a token from the caller's bucket. The burst is one second's
// worth, and at least one token.
func (r *rateTable) allow(key rateKey, limit float64, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bucket := r.buckets[key]
	if bucket == nil {
		if len(r.buckets) >= r.bound && !now.Before(r.nextSweep) {
			r.sweep(now)
		}
		if len(r.buckets) < r.bound {
			bucket = newBucket(limit)
			r.buckets[key] = bucket
		} else if bucket = r.shared[key.service]; bucket == nil {
			bucket = newBucket(limit)
			r.shared[key.service] = bucket
		}
	}
	if bucket.Limit() != rate.Limit(limit) {
		bucket.SetLimitAt(now, rate.Limit(limit))
		bucket.SetBurstAt(now, burst(limit))
	}
	return bucket.AllowN(now, 1)
}

// sweep drops full buckets. They decide like new ones, so nothing is lost.
func (r *rateTable) sweep(now time.Time) {
	r.nextSweep = now.Add(sweepInterval)
	for key, bucket := range r.buckets {
		if bucket.TokensAt(now) >= float64(bucket.Burst()) {
			delete(r.buckets, key)
		}
	}
}

func newBucket(limit float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(limit), burst(limit)) }

func burst(limit float64) int { return max(1, int(math.Ceil(limit))) }
