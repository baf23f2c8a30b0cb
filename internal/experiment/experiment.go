// Package experiment measures steering and placement in virtual time, and
// their cost on the machine it runs on.
package experiment

import (
	"context"
	"os"
	"strings"

	"oriolevalve/internal/clock"

	"github.com/cockroachdb/errors"
)

// Options are the settings of an experiment.
type Options struct {
	Seed uint64
	// Output is the directory that receives the results. It is created.
	Output string
	// Clock times the experiments that measure the machine.
	Clock clock.Clock
	// Policies limits the policies that are compared. Empty means all.
	Policies []string
	// Patterns limits the patterns of load that are played. Empty means all.
	Patterns []string
	// Quick reduces an experiment to a few small runs, to check that it works.
	Quick bool
}

// Experiment is a named measurement.
type Experiment struct {
	Name, Usage string
	run         func(context.Context, Options) error
}

// Experiments returns all experiments.
func Experiments() []Experiment {
	return []Experiment{
		{"balance", "imbalance and recorded flows of placement policies", runBalance},
		{"load", "packet hosts under patterns of load, beside simpler placements", runLoad},
		{"slopes", "cost of tables, snapshots and decisions over targets and services", runSlopes},
	}
}

// Names returns the names of all experiments, separated by commas.
func Names() string {
	var names []string
	for _, e := range Experiments() {
		names = append(names, e.Name)
	}
	return strings.Join(names, ", ")
}

// Run runs the experiment of the given name.
func Run(ctx context.Context, name string, o Options) error {
	for _, e := range Experiments() {
		if e.Name != name {
			continue
		}
		if err := os.MkdirAll(o.Output, 0o755); err != nil {
			return errors.Wrap(err, "create the output directory")
		}
		return errors.Wrapf(e.run(ctx, o), "experiment %s", name)
	}
	return errors.Newf("unknown experiment %q; known are: %s", name, Names())
}
