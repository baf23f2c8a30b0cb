package configuration

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"oriolevalve/internal/duration"
	"oriolevalve/pkg/flow"
)

// Problem is one violation of the rules.
type Problem struct {
	// Path names the field, such as services[desk].policy.warm_up.
	Path string `json:"path"`
	// Value is the value that was found.
	Value string `json:"value"`
	// Allowed describes the values that are accepted.
	Allowed string `json:"allowed"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s is not allowed: %s", p.Path, p.Value, p.Allowed)
}

// Problems are all violations found in one check. As an error it lists them
// all.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "; ")
}

func (p *Problems) add(path string, value any, allowed string, arguments ...any) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = strconv.Quote(s)
	}
	*p = append(*p, Problem{Path: path, Value: text, Allowed: fmt.Sprintf(allowed, arguments...)})
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRule = "1 to 63 lower-case letters, digits and inner hyphens"

// Validate checks every rule that holds within one revision and returns all
// problems.
func (c *Configuration) Validate() Problems {
	return c.validate(func(*Service) bool { return false })
}

// validate skips the rules within a service if it is known to keep them. At 800
// services with 14 targets, that is most of the work of a change.
func (c *Configuration) validate(valid func(*Service) bool) Problems {
	var p Problems
	if len(c.Services) > MaxServices {
		p.add("services", len(c.Services), "at most %d services", MaxServices)
	}
	if len(c.RemovedAddresses) > MaxRemovedAddresses {
		p.add("removed_addresses", len(c.RemovedAddresses),
			"at most %d addresses removed within %s", MaxRemovedAddresses, AddressQuarantine)
	}
	names := map[string]bool{}
	identifiers := map[flow.ServiceID]bool{}
	targets := 0
	for i := range c.Services {
		targets += len(c.Services[i].Targets)
	}
	targetIdentifiers := make(map[flow.TargetID]bool, targets)
	users := make(map[string]addressUser, len(c.Services)+targets)
	for i := range c.Services {
		s := &c.Services[i]
		if names[s.Name] {
			p.add(servicePath(s.Name)+".name", s.Name, "a name that no other service has")
		}
		names[s.Name] = true
		if s.ID == 0 || s.ID > c.LastServiceID || identifiers[s.ID] {
			p.add(servicePath(s.Name)+".id", s.ID, "a unique identifier from 1 to %d", c.LastServiceID)
		}
		identifiers[s.ID] = true
		if i > 0 && c.Services[i-1].ID >= s.ID {
			p.add(servicePath(s.Name)+".id", s.ID, "services sorted by identifier")
		}
		if s.Version > c.Revision {
			p.add(servicePath(s.Name)+".version", s.Version, "at most the revision %d", c.Revision)
		}
		if !valid(s) {
			s.validate(servicePath(s.Name), &p)
		}
		claimAddress(users, s.Address, addressUser{service: s}, &p)
		for j := range s.Targets {
			t := &s.Targets[j]
			if t.ID == 0 || t.ID > c.LastTargetID || targetIdentifiers[t.ID] {
				p.add(servicePath(s.Name)+targetPath(t.Name)+".id", t.ID, "a unique identifier from 1 to %d", c.LastTargetID)
			}
			targetIdentifiers[t.ID] = true
			claimAddress(users, t.Address, addressUser{service: s, target: t}, &p)
		}
	}
	return p
}

// addressUser is a service, or a target of it, that has an address.
type addressUser struct {
	service *Service
	target  *Target
}

func (u addressUser) path() string {
	if u.target == nil {
		return servicePath(u.service.Name) + ".address"
	}
	return servicePath(u.service.Name) + targetPath(u.target.Name) + ".address"
}

func claimAddress(users map[string]addressUser, address string, user addressUser, p *Problems) {
	if other, taken := users[address]; taken {
		p.add(user.path(), address, "an address other than that of %s", other.path())
		return
	}
	users[address] = user
}

func (s *Service) validate(path string, p *Problems) {
	if !namePattern.MatchString(s.Name) {
		p.add(path+".name", s.Name, nameRule)
	}
	checkAddress(path+".address", s.Address, p)
	if refusal := CheckProtocol(s.Protocol); refusal != "" {
		p.add(path+".protocol", string(s.Protocol), "%s", refusal)
	}
	s.Policy.validate(path+".policy", p)
	if len(s.Targets) > MaxTargetsPerService {
		p.add(path+".targets", len(s.Targets), "at most %d targets", MaxTargetsPerService)
	}
	if len(s.Generations) > MaxGenerations {
		p.add(path+".generations", len(s.Generations),
			"at most %d target set changes within the idle timeout", MaxGenerations)
	}
	names := map[string]bool{}
	for i := range s.Targets {
		t := &s.Targets[i]
		targetPath := path + targetPath(t.Name)
		if names[t.Name] {
			p.add(targetPath+".name", t.Name, "a name that no other target of the service has")
		}
		names[t.Name] = true
		t.validate(targetPath, p)
	}
}

func (t *Target) validate(path string, p *Problems) {
	if !namePattern.MatchString(t.Name) {
		p.add(path+".name", t.Name, nameRule)
	}
	checkAddress(path+".address", t.Address, p)
	if !namePattern.MatchString(t.DataCentre) {
		p.add(path+".data_centre", t.DataCentre, nameRule)
	}
	if t.State != TargetJoined && t.State != TargetDraining {
		p.add(path+".state", string(t.State), "%q or %q", TargetJoined, TargetDraining)
	}
	checkCount(path+".slots", t.Slots, 10000, p)
	checkCount(path+".connections", t.Connections, 1000000, p)
	checkCount(path+".weight", int(t.Weight), 100, p)
}

func (l *Policy) validate(path string, p *Problems) {
	checkNumber(path+".balance_bound", l.BalanceBound, 1.01, 10, p)
	checkDuration(path+".idle_timeout", l.IdleTimeout, MinIdleTimeout, 24*time.Hour, p)
	checkDuration(path+".drain_timeout", l.DrainTimeout, time.Second, 10*time.Minute, p)
	checkDuration(path+".warm_up", l.WarmUp, 0, time.Hour, p)
	checkCount(path+".queue_limit", l.QueueLimit, 10000, p)
	checkNumber(path+".caller_rate", l.CallerRate, 0, 1e6, p)
	checkNumber(path+".eject_floor", l.EjectFloor, 0.01, 1, p)
}

func checkAddress(path, address string, p *Problems) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.String() != address || parsed.Port() == 0 ||
		parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() || parsed.Addr().Zone() != "" {
		p.add(path, address, "an IP address and port in canonical form, such as 10.0.0.1:443 or [fd00::1]:443")
	}
}

func checkCount(path string, value, high int, p *Problems) {
	if value < 1 || value > high {
		p.add(path, value, "1 to %d", high)
	}
}

// checkNumber also refuses NaN, for which both comparisons are false.
func checkNumber(path string, value, low, high float64, p *Problems) {
	if value >= low && value <= high {
		return
	}
	p.add(path, value, "%v to %v", low, high)
}

func checkDuration(path string, value duration.Duration, low, high time.Duration, p *Problems) {
	if value.Std() < low || value.Std() > high {
		p.add(path, value, "%s to %s", low, high)
	}
}

func servicePath(name string) string { return "services[" + name + "]" }

func targetPath(name string) string { return ".targets[" + name + "]" }
