package acaciatoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Duration is a time.Duration that is encoded as text, such as "1.5s".
	Duration time.Duration

	// Document holds the line number of each key of a decoded file, and collects the
	// problems that are found in the file.
	Document struct {
		code     acaciaroute.Code
		lines    map[string]int
		problems []string
	}
)

// Set sets the duration to value.
func (d *Duration) Set(value time.Duration) {
	*d = Duration(value)
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = Duration(value)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Decode decodes data into target, a pointer to a struct. All errors have this code,
// including those that the document collects later.
func Decode(code acaciaroute.Code, data []byte, target any) (*Document, error) {
	document := &Document{code: code, lines: map[string]int{}}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := guard(func() error { return decoder.Decode(target) }); err != nil {
		return nil, document.decodeError(err)
	}
	document.indexLines(data)
	return document, nil
}

// Unmarshal decodes data into target, a pointer to a struct, and passes over unknown keys.
func Unmarshal(data []byte, target any) error {
	return guard(func() error { return toml.Unmarshal(data, target) })
}

// guard returns a panic of the TOML decoder as an error of the document. Version 2.2.4 panics for a value that is
// only a sign, such as "x=+"; a document from outside must not end the process. The decoder keeps no state beyond a
// call, and what it has decoded is discarded.
func guard(decode func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("the TOML decoder failed: %v", cause)
		}
	}()
	return decode()
}

// AddProblem adds a problem with a key. Its line is that of the key or, if the key
// is missing, of the innermost enclosing table that the document holds.
func (d *Document) AddProblem(key, format string, args ...any) {
	d.problems = append(d.problems, fmt.Sprintf("line %d: %s: %s", d.lineOf(key), key, fmt.Sprintf(format, args...)))
}

// Err returns all problems as one error with a line for each, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return acaciaroute.Errorf(d.code, "%s", strings.Join(d.problems, "\n"))
}

// Has reports whether the document holds the key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Require adds a problem for each of the keys that is missing in table, and reports whether
// all of them are present. An empty table stands for the top level.
func (d *Document) Require(table string, keys ...string) bool {
	complete := true
	for _, key := range keys {
		if table != "" {
			key = table + "." + key
		}
		if !d.Has(key) {
			d.AddProblem(key, "key is missing")
			complete = false
		}
	}
	return complete
}

// lineOf returns the line of a key or, if it is missing, of the innermost enclosing table,
// or 1.
func (d *Document) lineOf(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		dot := strings.LastIndex(key, ".")
		if dot < 0 {
			break
		}
		key = key[:dot]
	}
	return 1
}

// decodeError converts an error of the TOML decoder to one that has the document's code and
// states the lines.
func (d *Document) decodeError(err error) error {
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) && len(strictErr.Errors) > 0 {
		for _, unknownKey := range strictErr.Errors {
			line, _ := unknownKey.Position()
			d.problems = append(d.problems, fmt.Sprintf("line %d: %s: unknown key", line, strings.Join(unknownKey.Key(), ".")))
		}
		return d.Err()
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return acaciaroute.Errorf(d.code, "line %d: %s: %s", line, strings.Join(decodeErr.Key(), "."), decodeErr.Error())
	}
	return &acaciaroute.Error{Code: d.code, Detail: "line 1: cannot decode the document", Err: err}
}

// indexLines records the line of each key under its full path, such as
// class[1].first_token.
func (d *Document) indexLines(data []byte) {
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	counts := map[string]int{}
	for parser.NextExpression() {
		expression := parser.Expression()
		name, line := keyPath(&parser, expression)
		switch expression.Kind {
		case unstable.Table:
			table = name
			d.lines[table] = line
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			d.lines[table] = line
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			d.lines[name] = line
		}
	}
}

// keyPath returns the dotted key of an expression and its line.
func keyPath(parser *unstable.Parser, expression *unstable.Node) (string, int) {
	var parts []string
	line := 1
	keys := expression.Key()
	for keys.Next() {
		node := keys.Node()
		if len(parts) == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
		parts = append(parts, string(node.Data))
	}
	return strings.Join(parts, "."), line
}
