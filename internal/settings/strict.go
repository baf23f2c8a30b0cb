package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Problem is one fault in a JSON document.
type Problem struct {
	// Path names the field, such as "listen.callers[1]".
	Path string
	// Reason says what is wrong and what is allowed.
	Reason string
}

// String returns the path and the reason.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Reason
	}
	return p.Path + ": " + p.Reason
}

// Problems is the error that lists every fault of a document.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(path, format string, arguments ...any) {
	*p = append(*p, Problem{Path: path, Reason: fmt.Sprintf(format, arguments...)})
}

var (
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	timeType        = reflect.TypeFor[time.Time]()
)

// Decode reads one JSON document into the struct that the pointer refers to.
// Field names match exactly. It reports unknown fields, duplicate fields and
// values of the wrong type, all at once; encoding/json stops at the first and
// accepts duplicates.
func Decode(data []byte, into any) Problems {
	var problems Problems
	decoder := json.NewDecoder(bytes.NewReader(data))
	var document json.RawMessage
	if err := decoder.Decode(&document); err != nil {
		problems.add("", "not a JSON document: %v", err)
		return problems
	}
	if _, err := decoder.Token(); err != io.EOF {
		problems.add("", "text after the JSON document")
		return problems
	}
	decodeValue(&problems, "", document, reflect.ValueOf(into).Elem())
	return problems
}

func decodeValue(problems *Problems, path string, data json.RawMessage, into reflect.Value) {
	pointer := into.Addr().Type()
	switch {
	case pointer.Implements(textUnmarshaler), pointer.Implements(jsonUnmarshaler), into.Type() == timeType:
		decodeLeaf(problems, path, data, into)
	case into.Kind() == reflect.Pointer:
		if string(data) == "null" {
			return
		}
		into.Set(reflect.New(into.Type().Elem()))
		decodeValue(problems, path, data, into.Elem())
	case into.Kind() == reflect.Struct:
		decodeObject(problems, path, data, into)
	case into.Kind() == reflect.Slice:
		decodeList(problems, path, data, into)
	default:
		decodeLeaf(problems, path, data, into)
	}
}

func decodeObject(problems *Problems, path string, data json.RawMessage, into reflect.Value) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		problems.add(path, "must be an object")
		return
	}
	fields := map[string]reflect.Value{}
	var names []string
	for i := range into.NumField() {
		if !into.Type().Field(i).IsExported() {
			continue
		}
		name, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = into.Field(i)
		names = append(names, name)
	}
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			problems.add(path, "%v", err)
			return
		}
		name, _ := token.(string)
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			problems.add(join(path, name), "%v", err)
			return
		}
		field, known := fields[name]
		switch {
		case !known:
			problems.add(join(path, name), "unknown field; known are %s", strings.Join(names, ", "))
		case seen[name]:
			problems.add(join(path, name), "given twice")
		default:
			decodeValue(problems, join(path, name), value, field)
		}
		seen[name] = true
	}
}

func decodeList(problems *Problems, path string, data json.RawMessage, into reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		problems.add(path, "must be a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i, item := range items {
		decodeValue(problems, path+"["+strconv.Itoa(i)+"]", item, list.Index(i))
	}
	into.Set(list)
}

func decodeLeaf(problems *Problems, path string, data json.RawMessage, into reflect.Value) {
	if string(data) == "null" {
		problems.add(path, "must not be null")
		return
	}
	err := json.Unmarshal(data, into.Addr().Interface())
	if err == nil {
		return
	}
	switch kind := into.Kind(); {
	case kind == reflect.String:
		problems.add(path, "must be a string")
	case kind == reflect.Bool:
		problems.add(path, "must be true or false")
	case into.Addr().Type().Implements(textUnmarshaler) && len(data) > 0 && data[0] != '"':
		problems.add(path, "must be a string with a unit, such as \"30s\"")
	case into.Addr().Type().Implements(textUnmarshaler), into.Addr().Type().Implements(jsonUnmarshaler), into.Type() == timeType:
		problems.add(path, "%v", err)
	case kind == reflect.Float64:
		problems.add(path, "must be a number")
	default:
		problems.add(path, "must be a whole number that fits %s", into.Type())
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
