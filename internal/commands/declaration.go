package commands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"oriolevalve/internal/configuration"
	"oriolevalve/internal/duration"
	"oriolevalve/internal/settings"
	"oriolevalve/pkg/operatorpb"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"
)

// declaration is one service in a file of `apply`.
type declaration struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Protocol string `json:"protocol"`
	// BaseVersion is the version that the file is based on; the version in
	// force without it.
	BaseVersion *uint64 `json:"base_version"`
	// ReplaceTargets makes the listed targets the only ones of an existing service.
	ReplaceTargets bool                `json:"replace_targets"`
	Policy         *policyDeclaration  `json:"policy"`
	Targets        []targetDeclaration `json:"targets"`

	// source names the file and object in messages.
	source string
}

// policyDeclaration holds the fields to set. The others keep their value, or
// get the default in a new service.
type policyDeclaration struct {
	BalanceBound *float64           `json:"balance_bound"`
	IdleTimeout  *duration.Duration `json:"idle_timeout"`
	DrainTimeout *duration.Duration `json:"drain_timeout"`
	WarmUp       *duration.Duration `json:"warm_up"`
	QueueLimit   *int32             `json:"queue_limit"`
	CallerRate   *float64           `json:"caller_rate"`
	EjectFloor   *float64           `json:"eject_floor"`
}

type targetDeclaration struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Slots       int32  `json:"slots"`
	Connections int32  `json:"connections"`
	Weight      uint32 `json:"weight"`
	// State is "joined", the default, or "draining".
	State string `json:"state"`
}

// readDeclarations reads files of one or many JSON objects. All problems are
// reported with file, object and field.
func readDeclarations(files []string) ([]declaration, error) {
	var list []declaration
	var problems settings.Problems
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "reading the declarations")
		}
		declared, faults := decodeDeclarations(file, data)
		list = append(list, declared...)
		problems = append(problems, faults...)
	}
	problems = append(problems, duplicates(list)...)
	if len(problems) > 0 {
		return nil, problems
	}
	if len(list) == 0 {
		return nil, errors.New("the files declare no service")
	}
	return list, nil
}

// decodeDeclarations reads the objects of one file.
func decodeDeclarations(file string, data []byte) (list []declaration, problems settings.Problems) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	for number := 1; ; number++ {
		source := fmt.Sprintf("%s: object %d", file, number)
		var object json.RawMessage
		if err := decoder.Decode(&object); errors.Is(err, io.EOF) {
			return list, problems
		} else if err != nil {
			return list, append(problems, settings.Problem{Path: source, Reason: err.Error()})
		}
		d := declaration{source: source}
		for _, p := range settings.Decode(object, &d) {
			problems = append(problems, settings.Problem{Path: source, Reason: p.String()})
		}
		list = append(list, d)
	}
}

// duplicates finds names and addresses that the files give twice. The hosts
// check against the services that no file names.
func duplicates(list []declaration) settings.Problems {
	var problems settings.Problems
	seen := map[string]string{}
	check := func(kind, value, source, path string) {
		if value == "" {
			problems = append(problems, settings.Problem{Path: source, Reason: path + ": is required"})
			return
		}
		if other, taken := seen[kind+value]; taken {
			problems = append(problems, settings.Problem{Path: source, Reason: fmt.Sprintf("%s: %s %s is already in %s", path, kind, value, other)})
			return
		}
		seen[kind+value] = source
	}
	for _, d := range list {
		check("service name", d.Name, d.source, "name")
		check("service address", d.Address, d.source, "address")
		names := map[string]bool{}
		for i, t := range d.Targets {
			path := fmt.Sprintf("targets[%d].", i)
			if t.Name == "" || names[t.Name] {
				problems = append(problems, settings.Problem{Path: d.source, Reason: fmt.Sprintf("%sname: %q is empty or given twice", path, t.Name)})
			}
			names[t.Name] = true
			check("target address", t.Address, d.source, path+"address")
		}
	}
	return problems
}

// message returns the declaration for the operator API. Current is the service
// in force, or nil.
func (d *declaration) message(current *operatorpb.Service) *operatorpb.ServiceDeclaration {
	service := &operatorpb.Service{Name: d.Name, Address: d.Address, Protocol: d.Protocol, Policy: d.Policy.message(current.GetPolicy())}
	for _, t := range d.Targets {
		service.Targets = append(service.Targets, t.message())
	}
	base := current.GetVersion()
	if d.BaseVersion != nil {
		base = *d.BaseVersion
	}
	return &operatorpb.ServiceDeclaration{Service: service, BaseVersion: base, ReplaceTargets: d.ReplaceTargets}
}

func (t *targetDeclaration) message() *operatorpb.Target {
	return &operatorpb.Target{
		Name: t.Name, Address: t.Address, DataCentre: t.DataCentre,
		Slots: t.Slots, Connections: t.Connections, Weight: t.Weight, State: t.State,
	}
}

// message returns nil for a policy without fields, which keeps the policy in
// force or takes the default. The other fields come from the policy in force or
// the default, because the schema can't tell a zero field from an absent one.
func (p *policyDeclaration) message(current *operatorpb.Policy) *operatorpb.Policy {
	if p == nil || *p == (policyDeclaration{}) {
		return nil
	}
	if current == nil {
		d := configuration.DefaultPolicy()
		current = &operatorpb.Policy{
			BalanceBound: d.BalanceBound, IdleTimeout: durationpb.New(d.IdleTimeout.Std()), DrainTimeout: durationpb.New(d.DrainTimeout.Std()),
			WarmUp: durationpb.New(d.WarmUp.Std()), QueueLimit: int32(d.QueueLimit), CallerRate: d.CallerRate, EjectFloor: d.EjectFloor,
		}
	}
	m := &operatorpb.Policy{
		BalanceBound: current.GetBalanceBound(), IdleTimeout: current.GetIdleTimeout(), DrainTimeout: current.GetDrainTimeout(),
		WarmUp: current.GetWarmUp(), QueueLimit: current.GetQueueLimit(), CallerRate: current.GetCallerRate(), EjectFloor: current.GetEjectFloor(),
	}
	setFloat := func(to *float64, from *float64) {
		if from != nil {
			*to = *from
		}
	}
	setDuration := func(to **durationpb.Duration, from *duration.Duration) {
		if from != nil {
			*to = durationpb.New(from.Std())
		}
	}
	setFloat(&m.BalanceBound, p.BalanceBound)
	setFloat(&m.CallerRate, p.CallerRate)
	setFloat(&m.EjectFloor, p.EjectFloor)
	setDuration(&m.IdleTimeout, p.IdleTimeout)
	setDuration(&m.DrainTimeout, p.DrainTimeout)
	setDuration(&m.WarmUp, p.WarmUp)
	if p.QueueLimit != nil {
		m.QueueLimit = *p.QueueLimit
	}
	return m
}
