package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"oriolevalve/internal/configcheck"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// configurationReader reads a configuration of hosts that forward packets. The error says why the
// whole file can't be read.
type configurationReader func(data []byte) (*configcheck.Document, error)

// WithConfigurationReader sets the reader of the files of `check-config`.
func WithConfigurationReader(read func(data []byte) (*configcheck.Document, error)) Option {
	return func(e *environment) { e.readConfiguration = read }
}

func checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check a configuration before it is sent",
		ArgsUsage: "FILE",
		Description: `The file holds a configuration of hosts that forward packets, as the operators write it
to the platform, or with --declarations one or many services as in 'apply'. Reported
are errors, entries that can never match, limits that contradict each other and, with
--against, what differs from the version in force. Nothing is sent.

The command ends with 0 if nothing was found, with 1 if something was, and with 2 if a
file can't be read. Differences are no findings.

Example:
   oriolevalve check-config deploy/configuration-next.json --against deploy/configuration.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "`FILE` with the version in force"},
			&cli.BoolFlag{Name: "declarations", Usage: "the files hold declarations of services"},
			&cli.StringFlag{Name: "output", Usage: "text or json", Value: "text"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			p, err := parseCheckConfig(c)
			if err != nil {
				return err
			}
			return p.process()
		},
	}
}

type checkConfig struct {
	command       *cli.Command
	file, against string
	output        string
	// check reads and checks the file against another one, if that is named.
	check func(file, against string) (configcheck.Report, error)
}

func parseCheckConfig(c *cli.Command) (*checkConfig, error) {
	files, err := positional(c, "FILE")
	if err != nil {
		return nil, err
	}
	p := &checkConfig{command: c, file: files[0], against: c.String("against"), output: c.String("output")}
	if p.output != "text" && p.output != "json" {
		return nil, usageError("--output is %q, not text or json", p.output)
	}
	switch reader := environmentOf(c).readConfiguration; {
	case c.Bool("declarations"):
		p.check = checkDeclarations
	case reader == nil:
		return nil, usageError("this program reads declarations only: see --declarations")
	default:
		p.check = reader.check
	}
	return p, nil
}

func (p *checkConfig) process() error {
	report, err := p.check(p.file, p.against)
	if err != nil {
		return exit(err, ExitUsage)
	}
	if err := p.print(&report); err != nil {
		return failure(err)
	}
	if count := len(report.Findings); count > 0 {
		return failure(errors.Newf("%s: %d findings", p.file, count))
	}
	return nil
}

// print writes the findings, one a line as compilers do, and then the differences.
func (p *checkConfig) print(report *configcheck.Report) error {
	out := p.command.Root().Writer
	if p.output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(report), "writing the report")
	}
	for _, f := range report.Findings {
		if _, err := fmt.Fprintf(out, "%s:%d: %s\n", p.file, f.Line, f); err != nil {
			return errors.Wrap(err, "writing the report")
		}
	}
	for _, d := range report.Differences {
		if _, err := fmt.Fprintln(out, differenceText(d)); err != nil {
			return errors.Wrap(err, "writing the report")
		}
	}
	return nil
}

func differenceText(d configcheck.Difference) string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("added: %s: %s", d.Path, d.After)
	case d.After == "":
		return fmt.Sprintf("removed: %s: %s", d.Path, d.Before)
	default:
		return fmt.Sprintf("changed: %s: %s -> %s", d.Path, d.Before, d.After)
	}
}

// check reads a configuration and the one in force, if a file is named, and compares them.
func (read configurationReader) check(file, against string) (configcheck.Report, error) {
	document, err := read.file(file)
	if err != nil {
		return configcheck.Report{}, err
	}
	var inForce *configcheck.Document
	if against != "" {
		if inForce, err = read.file(against); err != nil {
			return configcheck.Report{}, err
		}
	}
	return configcheck.Check(document, inForce), nil
}

func (read configurationReader) file(path string) (*configcheck.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading a configuration")
	}
	document, err := read(data)
	return document, errors.Wrap(err, path)
}
