package packet

import "time"

// silentTargets is the number of targets of a data centre that fall silent, without
// a sign of life of any other one, until new flows avoid the data centre: one may
// have died alone.
const silentTargets = 2

// dataCentreRecord is what the plane knows of a remote data centre. Targets behind a
// cut fall silent together, so what some of them show holds for all.
type dataCentreRecord struct {
	name string
	// silent is the number of targets that fell silent since the last sign of life
	// of any, since is the time of the first.
	silent int
	since  time.Duration
	// doubted is set while the plane's last change of belief was to silence.
	doubted bool
}

// progress notes a sign of life of a target.
func (d *dataCentreRecord) progress() { d.silent = 0 }

// fellSilent notes that a target seems dead.
func (d *dataCentreRecord) fellSilent(now time.Duration) {
	if d.silent == 0 || now-d.since > silenceRetry {
		d.silent, d.since = 0, now
	}
	d.silent++
}

// unreachable reports whether the data centre seems cut off. It is tried again
// after a while.
func (d *dataCentreRecord) unreachable(now time.Duration) bool {
	return d.silent >= silentTargets && now-d.since <= silenceRetry
}
