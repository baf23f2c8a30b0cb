package configuration

import (
	"sort"

	"oriolevalve/pkg/flow"

	"github.com/zeebo/xxh3"
)

// WatchersPerDataCentre is the number of hosts that watch the head. The second
// one covers the time until a failure of the first one is noticed.
const WatchersPerDataCentre = 2

// Watchers returns the hosts of a data centre that watch the head: the first by
// rendezvous hash among the given live hosts. Hosts that disagree about who is
// live only cause an additional or a missing watch for a while.
func Watchers(dataCentre string, live []flow.Host) []flow.Host {
	type candidate struct {
		host  flow.Host
		score uint64
	}
	var list []candidate
	for _, h := range live {
		if h.DataCentre == dataCentre {
			list = append(list, candidate{h, xxh3.HashString(dataCentre + "\x00" + h.ID)})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].host.ID < list[j].host.ID
	})
	watchers := make([]flow.Host, 0, WatchersPerDataCentre)
	for _, c := range list[:min(len(list), WatchersPerDataCentre)] {
		watchers = append(watchers, c.host)
	}
	return watchers
}

// IsWatcher reports whether a host watches the head.
func IsWatcher(host flow.Host, live []flow.Host) bool {
	for _, w := range Watchers(host.DataCentre, live) {
		if w.ID == host.ID {
			return true
		}
	}
	return false
}
