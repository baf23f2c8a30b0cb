package configcheck

import (
	"fmt"
	"net/netip"
	"time"
)

// rules are the checks of one document.
var rules = []func(d *Document, report func(kind Kind, at Place, format string, arguments ...any)){
	checkNames,
	checkRoutes,
	checkAddresses,
	checkShares,
	checkUnusedServices,
	checkTimeouts,
	checkWarmUps,
}

// Check returns what is wrong with a document, and what differs from the one in force if that is
// not nil.
func Check(d, inForce *Document) Report {
	r := Report{Findings: append([]Finding{}, d.Findings...), Differences: []Difference{}}
	report := func(kind Kind, at Place, format string, arguments ...any) {
		r.Findings = append(r.Findings, Finding{Kind: kind, Path: at.Path, Line: at.Line, Reason: fmt.Sprintf(format, arguments...)})
	}
	for _, rule := range rules {
		rule(d, report)
	}
	if inForce != nil {
		checkVersion(d, inForce, report)
		r.Differences = append(r.Differences, differences(d, inForce)...)
	}
	r.sort()
	return r
}

type reporter = func(kind Kind, at Place, format string, arguments ...any)

// checkNames finds entries without a name and names that are given twice.
func checkNames(d *Document, report reporter) {
	if d.Version.Number == 0 {
		report(Error, d.Version.Place, "a version above 0 is required")
	}
	services, routes := map[string]Place{}, map[string]Place{}
	for _, s := range d.Services {
		checkName(services, "service", s.Name, s.Place, report)
	}
	for _, r := range d.Routes {
		checkName(routes, "route", r.Name, r.Place, report)
	}
}

func checkName(seen map[string]Place, what, name string, at Place, report reporter) {
	if name == "" {
		report(Error, at, "the %s has no name", what)
		return
	}
	if first, taken := seen[name]; taken {
		report(Error, at, "%s %q is already at %s", what, name, first.Path)
		return
	}
	seen[name] = at
}

// checkRoutes finds routes that refuse all flows.
func checkRoutes(d *Document, report reporter) {
	for _, r := range d.Routes {
		var sum uint64
		for _, s := range r.Shares {
			sum += uint64(s.Weight)
		}
		switch {
		case len(r.Shares) == 0:
			report(Error, r.Place, "route %q leads to no service: all its flows are refused", r.Name)
		case sum == 0:
			report(Error, r.Place, "all weights of route %q are 0: all its flows are refused", r.Name)
		}
	}
}

// checkAddresses finds routes that an earlier one hides.
func checkAddresses(d *Document, report reporter) {
	first := map[netip.AddrPort]Route{}
	for _, r := range d.Routes {
		if !r.Address.IsValid() {
			continue
		}
		if other, taken := first[r.Address]; taken {
			report(NeverMatches, r.Place, "route %q at %s (%s) has the address %s and takes all its flows", other.Name, other.Path, lineText(other.Line), r.Address)
			continue
		}
		first[r.Address] = r
	}
}

func lineText(line int) string { return fmt.Sprintf("line %d", line) }

// checkShares finds services that a route names in vain.
func checkShares(d *Document, report reporter) {
	declared := map[string]bool{}
	for _, s := range d.Services {
		declared[s.Name] = true
	}
	for _, r := range d.Routes {
		named := map[string]bool{}
		for _, s := range r.Shares {
			switch {
			case s.Service == "":
				report(Error, s.Place, "route %q names no service here", r.Name)
			case !declared[s.Service]:
				report(Error, s.Place, "service %q is not declared", s.Service)
			case named[s.Service]:
				report(Contradiction, s.Place, "route %q names service %q twice: the weights add up", r.Name, s.Service)
			}
			named[s.Service] = true
			if s.Weight == 0 && len(r.Shares) > 1 {
				report(NeverMatches, s.Place, "service %q has weight 0 in route %q and gets none of its flows", s.Service, r.Name)
			}
		}
	}
}

// checkUnusedServices finds services that no route leads to.
func checkUnusedServices(d *Document, report reporter) {
	used := map[string]bool{}
	for _, r := range d.Routes {
		for _, s := range r.Shares {
			used[s.Service] = true
		}
	}
	for _, s := range d.Services {
		if s.Name != "" && !used[s.Name] {
			report(NeverMatches, s.Place, "no route leads to service %q", s.Name)
		}
	}
}

// checkTimeouts finds time-outs that end before what they have to allow.
func checkTimeouts(d *Document, report reporter) {
	idle, hasIdle := d.limit(IdleTimeout)
	head, hasHead := d.limit(HeaderTimeout)
	if hasIdle && idle.Duration <= 0 {
		report(Error, idle.Place, "a time above 0 is required")
		hasIdle = false
	}
	if hasIdle && hasHead && head.Duration > idle.Duration {
		report(Contradiction, head.Place, "the head of a request may take %s, but its flow may be discarded after %s (%s)", head.Duration, idle.Duration, idle.Path)
	}
	var longest time.Duration
	for _, r := range d.Routes {
		if r.Timeout > 0 && r.Objective > r.Timeout {
			report(Contradiction, r.Place, "answers should come within %s, but requests end after %s", r.Objective, r.Timeout)
		}
		if hasIdle && r.Timeout > idle.Duration && r.Timeout > longest {
			longest = r.Timeout
			report(Contradiction, r.Place, "a request may wait %s, but its silent flow may be discarded after %s (%s)", r.Timeout, idle.Duration, idle.Path)
		}
	}
}

// checkWarmUps finds rates of warm-ups that never hold.
func checkWarmUps(d *Document, report reporter) {
	for _, s := range d.Services {
		if s.WarmUp <= 0 && s.WarmUpRate > 0 {
			report(Contradiction, s.Place, "cold targets bear %g requests a second, but targets are cold for 0s", s.WarmUpRate)
		}
	}
}
