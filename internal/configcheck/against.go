package configcheck

import (
	"fmt"
	"slices"
	"strings"
)

// checkVersion compares the version with the one in force. Hosts hold the higher one.
func checkVersion(d, inForce *Document, report reporter) {
	switch {
	case d.Version.Number < inForce.Version.Number:
		report(Error, d.Version.Place, "version %d is below version %d, which is in force", d.Version.Number, inForce.Version.Number)
	case d.Version.Number == inForce.Version.Number && len(differences(d, inForce)) > 0:
		report(Error, d.Version.Place, "version %d is in force with another content", d.Version.Number)
	}
}

// differences compares two documents entry by entry. Entries are told by their names, so an
// order that changes is no difference.
func differences(d, inForce *Document) []Difference {
	before, after := inForce.values(), d.values()
	var list []Difference
	for path, value := range after {
		if old, found := before[path]; !found || old != value {
			list = append(list, Difference{Path: path, Before: old, After: value})
		}
	}
	for path, value := range before {
		if _, found := after[path]; !found {
			list = append(list, Difference{Path: path, Before: value})
		}
	}
	slices.SortFunc(list, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return list
}

// values returns the values of all entries by a path that names the entry, but for the version.
func (d *Document) values() map[string]string {
	values := map[string]string{}
	for _, r := range d.Routes {
		path := fmt.Sprintf("routes[%s].", r.Name)
		for name, value := range r.Settings {
			values[path+name] = value
		}
	}
	for _, s := range d.Services {
		path := fmt.Sprintf("services[%s].", s.Name)
		for name, value := range s.Settings {
			values[path+name] = value
		}
	}
	for _, l := range d.Limits {
		values["limits."+l.Name] = l.Text
	}
	return values
}
