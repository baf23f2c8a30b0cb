package node

import (
	"encoding/json"
	"net/http"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/packet"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// StatusPath is where a host serves its Status, on the address of its metrics.
	StatusPath = "/status"
	// statusWait is the time for which a question waits for the packet goroutine,
	// which reports at its next sweep if a packet arrives: two sweeps.
	statusWait = 2 * sweepInterval
)

// Status is what a host knows and believes. Times are in milliseconds.
type Status struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	// Ready is set if the host asks the fabric for packets.
	Ready bool `json:"ready"`
	// Alive is the number of other hosts that are alive.
	Alive       int                `json:"alive"`
	Version     uint64             `json:"configuration_version"`
	Collections []CollectionStatus `json:"collections"`
	// Evacuated are the data centres whose targets get no new flows.
	Evacuated []string `json:"evacuated_data_centres,omitempty"`
	// TargetsAge is the age of Targets, which are as of the last packet.
	TargetsAge int64          `json:"targets_age_ms"`
	Targets    []TargetStatus `json:"targets"`
}

// CollectionStatus is how far a host knows a collection.
type CollectionStatus struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Age      int64  `json:"age_ms"`
	// Rank is the host's place among those that ask the store; the first one
	// watches.
	Rank int `json:"rank"`
}

// TargetStatus is what a host knows of a target.
type TargetStatus struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	Open       int    `json:"open_flows"`
	Active     int    `json:"active_flows"`
	Response   int64  `json:"response_ms"`
	// Speed is the learned speed against that of the service's other targets, Load what placement
	// compares. Hosts of builds before learned costs tell neither.
	Speed float64 `json:"speed"`
	Load  float64 `json:"load"`
	// Health is "answers" or the reason why new flows avoid the target.
	Health string `json:"belief"`
	// Asked is the outcome of the last question to the target itself, AskedAge the time since
	// it began.
	Asked    string `json:"asked,omitempty"`
	AskedAge int64  `json:"asked_age_ms,omitempty"`
}

// targetReport is what the packet goroutine knew at a time.
type targetReport struct {
	at      time.Duration
	targets []packet.TargetStatus
}

func (n *Node) answerStatus(w http.ResponseWriter, r *http.Request, c *control) {
	asked := n.now()
	n.statusWanted.Store(true)
	select {
	case <-n.clock.After(statusWait):
	case <-r.Context().Done():
		return
	}
	statuses := make(chan Status, 1)
	c.do(func() { statuses <- c.status(n.now()) })
	var s Status
	select {
	case s = <-statuses:
	case <-r.Context().Done():
		return
	}
	if report := n.targets.Load(); report != nil {
		s.TargetsAge = max(0, asked-report.at).Milliseconds()
		for i := range report.targets {
			s.Targets = append(s.Targets, targetStatus(&report.targets[i]))
		}
	}
	data, err := json.Marshal(s)
	if err == nil {
		w.Header().Set("Content-Type", "application/json")
		_, err = w.Write(data)
	}
	if err != nil {
		n.log.Warn(logs.StatusNotSent, zap.String("to", r.RemoteAddr), logs.Cause(errors.Wrap(err, "sending the status")))
	}
}

func targetStatus(t *packet.TargetStatus) TargetStatus {
	belief := "answers"
	switch {
	case t.Evacuated:
		belief = "evacuated"
	case t.Dead:
		belief = "dead"
	case t.DeadByQuestion:
		belief = "dead_when_asked"
	case t.Unreachable:
		belief = "data_centre_silent"
	case t.Silent && t.Unanswered:
		belief = "opening_unanswered"
	case t.Silent:
		belief = "data_repeated"
	case t.Suspected:
		belief = "suspected_by_others"
	case t.Held:
		belief = "warm_up_held"
	case t.Guarded:
		belief = "cold"
	case t.WarmingUp:
		belief = "warming_up"
	}
	asked := ""
	if t.AskedAge > 0 {
		asked = t.Asked.String()
	}
	return TargetStatus{
		Name: t.Name, Service: t.Service, DataCentre: t.DataCentre, State: t.State.String(), Open: t.OpenFlows, Active: t.ActiveFlows,
		Response: t.MeanResponseTime.Milliseconds(), Health: belief, Speed: t.Speed, Load: t.Load,
		Asked: asked, AskedAge: t.AskedAge.Milliseconds(),
	}
}

// status returns what the control goroutine knows.
func (c *control) status(now time.Duration) Status {
	s := Status{
		Host: c.node.settings.HostID, DataCentre: c.node.settings.DataCentre, Ready: c.node.ready.Load(),
		Alive: c.members.LivePeerCount(now), Version: c.node.metrics.version.Load(),
	}
	for kind := range catalog.KindCount {
		if !c.follows(kind) {
			continue
		}
		state := c.catalog.State(kind, now)
		s.Collections = append(s.Collections, CollectionStatus{
			Name: kind.String(), Revision: state.Revision, Age: state.Age, Rank: c.rank(kind, now),
		})
	}
	for _, e := range c.evacuations(now) {
		if e.Requested {
			s.Evacuated = append(s.Evacuated, e.DataCentre)
		}
	}
	return s
}
