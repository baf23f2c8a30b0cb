// Package rawjson splits a JSON document into its parts without reading them. Parts may be
// malformed as long as their brackets and strings are complete.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Member is a member of an object with the bytes of its value.
type Member struct {
	Name  string
	Value []byte
}

var errIncomplete = errors.New("the document is incomplete")

// Members returns the members of an object.
func Members(data []byte) ([]Member, error) {
	parts, err := split(data, '{', '}')
	if err != nil {
		return nil, err
	}
	members := make([]Member, 0, len(parts))
	for _, part := range parts {
		end, err := valueEnd(part)
		if err != nil {
			return nil, err
		}
		var name string
		if err := json.Unmarshal(part[:end], &name); err != nil {
			return nil, errors.Wrap(err, "name of a member")
		}
		value, found := bytes.CutPrefix(bytes.TrimLeft(part[end:], spaces), []byte(":"))
		if !found {
			return nil, errors.Newf("member %q has no value", name)
		}
		members = append(members, Member{Name: name, Value: bytes.Trim(value, spaces)})
	}
	return members, nil
}

// Elements returns the bytes of the elements of an array.
func Elements(data []byte) ([][]byte, error) { return split(data, '[', ']') }

const spaces = " \t\r\n"

// split returns what stands between the commas of a document that begins and ends with
// brackets.
func split(data []byte, open, end byte) ([][]byte, error) {
	data = bytes.Trim(data, spaces)
	if len(data) < 2 || data[0] != open || data[len(data)-1] != end {
		return nil, errors.Newf("not a document from %c to %c", open, end)
	}
	data = data[1 : len(data)-1]
	if len(bytes.Trim(data, spaces)) == 0 {
		return nil, nil
	}
	var parts [][]byte
	for {
		comma, err := partEnd(data)
		if err != nil {
			return nil, err
		}
		part := bytes.Trim(data[:comma], spaces)
		if len(part) == 0 {
			return nil, errors.New("a part is empty")
		}
		parts = append(parts, part)
		if comma == len(data) {
			return parts, nil
		}
		data = data[comma+1:]
	}
}

// partEnd returns the index of the first comma outside of brackets and strings, or the length.
func partEnd(data []byte) (int, error) {
	for i := 0; i < len(data); {
		if data[i] == ',' {
			return i, nil
		}
		length, err := valueEnd(data[i:])
		if err != nil {
			return 0, err
		}
		i += length
	}
	return len(data), nil
}

// valueEnd returns the length of the string or the bracketed part at the start of the data, and
// one for any other byte.
func valueEnd(data []byte) (int, error) {
	switch data[0] {
	case '"':
		return stringEnd(data)
	case '{', '[':
	case '}', ']':
		return 0, errors.Newf("unexpected %c", data[0])
	default:
		return 1, nil
	}
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			length, err := stringEnd(data[i:])
			if err != nil {
				return 0, err
			}
			i += length - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1, nil
			}
		}
	}
	return 0, errIncomplete
}

// stringEnd returns the length of the string at the start of the data.
func stringEnd(data []byte) (int, error) {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1, nil
		}
	}
	return 0, errIncomplete
}
