package commands

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"oriolevalve/internal/configcheck"
	"oriolevalve/internal/configuration"
	"oriolevalve/internal/duration"
	"oriolevalve/pkg/flow"

	"github.com/cockroachdb/errors"
)

// checkDeclarations checks a file of `apply`, and compares it with another one if that is named.
func checkDeclarations(file, against string) (configcheck.Report, error) {
	report := configcheck.Report{Findings: []configcheck.Finding{}, Differences: []configcheck.Difference{}}
	after, err := declaredConfiguration(file, &report)
	if err != nil {
		return configcheck.Report{}, err
	}
	for _, p := range after.configuration.Validate() {
		report.Findings = append(report.Findings, configcheck.Finding{
			Kind: configcheck.Error, Path: p.Path, Line: after.line(p.Path), Reason: fmt.Sprintf("%s is not allowed: %s", p.Value, p.Allowed),
		})
	}
	for i := range after.configuration.Services {
		report.Findings = append(report.Findings, after.contradictions(&after.configuration.Services[i])...)
	}
	if against == "" {
		return report, nil
	}
	before, err := declaredConfiguration(against, &configcheck.Report{})
	if err != nil {
		return configcheck.Report{}, err
	}
	for i := range after.configuration.Services {
		// Services with one version count as equal.
		after.configuration.Services[i].Version = after.configuration.Revision
	}
	for _, d := range configuration.Differences(before.configuration, after.configuration) {
		if strings.HasSuffix(d.Path, ".id") {
			// Hosts give out the identifiers.
			continue
		}
		report.Differences = append(report.Differences, configcheck.Difference{Path: d.Path, Before: d.Before, After: d.After})
	}
	return report, nil
}

// declaredFile is a file of declarations as a configuration of its own.
type declaredFile struct {
	configuration *configuration.Configuration
	// lines are those on which the services begin, by name.
	lines map[string]int
}

// line returns the line on which the service of a path begins; zero for a path of none.
func (f *declaredFile) line(path string) int {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "services["), "]")
	return f.lines[name]
}

// declaredConfiguration reads a file. Problems of the file become findings.
func declaredConfiguration(file string, report *configcheck.Report) (*declaredFile, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "reading the declarations")
	}
	list, problems := decodeDeclarations(file, data)
	lines := objectLines(data)
	for _, p := range append(problems, duplicates(list)...) {
		object := strings.TrimPrefix(p.Path, file+": ")
		report.Findings = append(report.Findings, configcheck.Finding{
			Kind: configcheck.Error, Path: object, Line: lines[object], Reason: p.Reason,
		})
	}
	f := &declaredFile{configuration: configurationOf(list), lines: map[string]int{}}
	for i := range list {
		f.lines[list[i].Name] = lines[strings.TrimPrefix(list[i].source, file+": ")]
	}
	return f, nil
}

// objectLines returns the lines on which the objects of a file begin, by the names that messages
// give them.
func objectLines(data []byte) map[string]int {
	lines, decoder := map[string]int{}, json.NewDecoder(bytes.NewReader(data))
	for number := 1; ; number++ {
		var object json.RawMessage
		if err := decoder.Decode(&object); err != nil {
			// A document that can't be read any further is among the problems.
			return lines
		}
		end := decoder.InputOffset()
		start := end - int64(len(object))
		lines[fmt.Sprintf("object %d", number)] = 1 + bytes.Count(data[:start], []byte("\n"))
	}
}

// configurationOf returns a configuration of declared services.
func configurationOf(list []declaration) *configuration.Configuration {
	c := &configuration.Configuration{Revision: 1, LastServiceID: flow.ServiceID(len(list))}
	for i := range list {
		d := &list[i]
		s := configuration.Service{
			ID: flow.ServiceID(i + 1), Name: d.Name, Address: d.Address, Protocol: configuration.Protocol(d.Protocol), Policy: d.Policy.policy(),
		}
		for _, t := range d.Targets {
			c.LastTargetID++
			s.Targets = append(s.Targets, t.target(c.LastTargetID))
		}
		c.Services = append(c.Services, s)
	}
	return c
}

// policy returns the declared policy with the defaults for what it leaves out.
func (p *policyDeclaration) policy() configuration.Policy {
	policy := configuration.DefaultPolicy()
	if p == nil {
		return policy
	}
	setFloat(&policy.BalanceBound, p.BalanceBound)
	setFloat(&policy.CallerRate, p.CallerRate)
	setFloat(&policy.EjectFloor, p.EjectFloor)
	setDuration(&policy.IdleTimeout, p.IdleTimeout)
	setDuration(&policy.DrainTimeout, p.DrainTimeout)
	setDuration(&policy.WarmUp, p.WarmUp)
	if p.QueueLimit != nil {
		policy.QueueLimit = int(*p.QueueLimit)
	}
	return policy
}

func setFloat(to, from *float64) {
	if from != nil {
		*to = *from
	}
}

func setDuration(to, from *duration.Duration) {
	if from != nil {
		*to = *from
	}
}

// target returns the declared target with the defaults for what it leaves out.
func (t *targetDeclaration) target(id flow.TargetID) configuration.Target {
	return configuration.Target{
		ID: id, Name: t.Name, Address: t.Address, DataCentre: t.DataCentre, Slots: int(t.Slots),
		State:       configuration.TargetState(cmp.Or(t.State, string(configuration.TargetJoined))),
		Connections: cmp.Or(int(t.Connections), configuration.DefaultConnections),
		Weight:      cmp.Or(t.Weight, configuration.DefaultWeight),
	}
}

// contradictions returns what can't take effect together in a valid service.
func (f *declaredFile) contradictions(s *configuration.Service) []configcheck.Finding {
	var list []configcheck.Finding
	add := func(kind configcheck.Kind, path, format string, arguments ...any) {
		list = append(list, configcheck.Finding{
			Kind: kind, Path: fmt.Sprintf("services[%s].%s", s.Name, path), Line: f.lines[s.Name], Reason: fmt.Sprintf(format, arguments...),
		})
	}
	joined := 0
	for _, t := range s.Targets {
		if t.State == configuration.TargetJoined {
			joined++
		}
		if t.Slots > t.Connections {
			add(configcheck.Contradiction, "targets["+t.Name+"].slots", "%d slots can't be used with %d connections", t.Slots, t.Connections)
		}
	}
	if joined == 0 {
		add(configcheck.Error, "targets", "no target takes new sessions: all are refused")
	}
	if s.Policy.WarmUp > s.Policy.IdleTimeout {
		add(configcheck.Contradiction, "policy.warm_up", "a target reaches its share after %s, but sessions count as ended after %s without a message", s.Policy.WarmUp, s.Policy.IdleTimeout)
	}
	return list
}
