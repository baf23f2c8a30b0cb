package commands

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// tableWriter writes rows in aligned columns.
type tableWriter struct {
	writer *tabwriter.Writer
	err    error
}

func newTable(out io.Writer) *tableWriter {
	return &tableWriter{writer: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
}

// flush writes the rows that are left.
func (w *tableWriter) flush() error {
	if err := w.writer.Flush(); err != nil {
		return errors.Wrap(err, "writing the answer")
	}
	return errors.Wrap(w.err, "writing the answer")
}

func (w *tableWriter) row(cells ...string) {
	if w.err == nil {
		_, w.err = io.WriteString(w.writer, strings.Join(cells, "\t")+"\n")
	}
}

// print writes the message as JSON, or as the table that the function fills.
func (r *remote) print(c *cli.Command, message proto.Message, fill func(*tableWriter)) error {
	out := c.Root().Writer
	if r.output == "json" {
		text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
		if err != nil {
			return errors.Wrap(err, "encoding the answer")
		}
		// protojson varies its white space on purpose.
		var indented bytes.Buffer
		if err := json.Indent(&indented, text, "", "  "); err != nil {
			return errors.Wrap(err, "encoding the answer")
		}
		indented.WriteByte('\n')
		_, err = indented.WriteTo(out)
		return errors.Wrap(err, "writing the answer")
	}
	w := newTable(out)
	fill(w)
	return w.flush()
}
