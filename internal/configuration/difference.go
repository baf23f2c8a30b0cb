package configuration

import (
	"fmt"
	"sort"
	"strconv"
)

// Difference is one changed field. An empty side means that the field did not
// exist there.
type Difference struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("%s: added %s", d.Path, d.After)
	case d.After == "":
		return fmt.Sprintf("%s: removed %s", d.Path, d.Before)
	default:
		return fmt.Sprintf("%s: %s -> %s", d.Path, d.Before, d.After)
	}
}

// Differences compares two configurations field by field. Versions and
// generations follow from the other fields and are left out.
func Differences(before, after *Configuration) []Difference {
	var list []Difference
	old := map[string]*Service{}
	for i := range before.Services {
		old[before.Services[i].Name] = &before.Services[i]
	}
	for i := range after.Services {
		s := &after.Services[i]
		previous := old[s.Name]
		delete(old, s.Name)
		if previous != nil && previous.ID == s.ID && previous.Version == s.Version {
			continue
		}
		list = append(list, compareFields(serviceFields(previous), serviceFields(s))...)
	}
	var deleted []string
	for name := range old {
		deleted = append(deleted, name)
	}
	sort.Strings(deleted)
	for _, name := range deleted {
		list = append(list, compareFields(serviceFields(old[name]), nil)...)
	}
	return list
}

type field struct{ path, value string }

func serviceFields(s *Service) []field {
	if s == nil {
		return nil
	}
	path := servicePath(s.Name)
	fields := []field{
		{path + ".id", strconv.FormatUint(uint64(s.ID), 10)},
		{path + ".address", strconv.Quote(s.Address)},
		{path + ".protocol", strconv.Quote(string(s.Protocol))},
		{path + ".policy.balance_bound", fmt.Sprint(s.Policy.BalanceBound)},
		{path + ".policy.idle_timeout", s.Policy.IdleTimeout.String()},
		{path + ".policy.drain_timeout", s.Policy.DrainTimeout.String()},
		{path + ".policy.warm_up", s.Policy.WarmUp.String()},
		{path + ".policy.queue_limit", strconv.Itoa(s.Policy.QueueLimit)},
		{path + ".policy.caller_rate", fmt.Sprint(s.Policy.CallerRate)},
		{path + ".policy.eject_floor", fmt.Sprint(s.Policy.EjectFloor)},
	}
	for _, t := range s.Targets {
		targetPath := path + targetPath(t.Name)
		fields = append(fields,
			field{targetPath + ".id", strconv.FormatUint(uint64(t.ID), 10)},
			field{targetPath + ".address", strconv.Quote(t.Address)},
			field{targetPath + ".data_centre", strconv.Quote(t.DataCentre)},
			field{targetPath + ".state", strconv.Quote(string(t.State))},
			field{targetPath + ".slots", strconv.Itoa(t.Slots)},
			field{targetPath + ".connections", strconv.Itoa(t.Connections)},
			field{targetPath + ".weight", strconv.FormatUint(uint64(t.Weight), 10)},
		)
	}
	return fields
}

func compareFields(before, after []field) []Difference {
	old := make(map[string]string, len(before))
	for _, f := range before {
		old[f.path] = f.value
	}
	var list []Difference
	present := make(map[string]bool, len(after))
	for _, f := range after {
		present[f.path] = true
		if old[f.path] != f.value {
			list = append(list, Difference{Path: f.path, Before: old[f.path], After: f.value})
		}
	}
	for _, f := range before {
		if !present[f.path] {
			list = append(list, Difference{Path: f.path, Before: f.value})
		}
	}
	return list
}
