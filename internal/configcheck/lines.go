package configcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// Lines maps the paths of the values of a JSON document, such as routes[2].name, to their lines.
type Lines map[string]int

// Place returns the place of a path. One that the document lacks has the line of what it would
// be in.
func (l Lines) Place(path, parent string) Place {
	if line, found := l[path]; found {
		return Place{Path: path, Line: line}
	}
	return Place{Path: path, Line: l[parent]}
}

// ReadLines returns the lines of a document's values. An error says on which line the document
// can't be read.
func ReadLines(data []byte) (Lines, error) {
	r := lineReader{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), lines: Lines{}, line: 1}
	if err := r.value(""); err != nil {
		return nil, errors.Wrapf(err, "line %d", r.at(r.decoder.InputOffset()))
	}
	if _, err := r.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.Newf("line %d: text after the document", r.at(r.decoder.InputOffset()))
	}
	return r.lines, nil
}

type lineReader struct {
	data    []byte
	decoder *json.Decoder
	lines   Lines
	// line is that of the byte before offset.
	line   int
	offset int64
}

// at returns the line of an offset, which does not go back.
func (r *lineReader) at(offset int64) int {
	r.line += bytes.Count(r.data[r.offset:offset], []byte("\n"))
	r.offset = offset
	return r.line
}

// value notes the lines of a value and of all in it.
func (r *lineReader) value(path string) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	r.lines[path] = r.at(r.decoder.InputOffset())
	opening, isBracket := token.(json.Delim)
	if !isBracket {
		return nil
	}
	for i := 0; r.decoder.More(); i++ {
		member := fmt.Sprintf("%s[%d]", path, i)
		if opening == '{' {
			name, err := r.decoder.Token()
			if err != nil {
				return err
			}
			member = fmt.Sprint(name)
			if path != "" {
				member = path + "." + member
			}
		}
		if err := r.value(member); err != nil {
			return err
		}
	}
	_, err = r.decoder.Token()
	return err
}
