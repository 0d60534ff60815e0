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
	// Duration is a time.Duration written as text, such as "1.5s".
	Duration time.Duration

	// Document is a decoded file that knows the lines of its keys and gathers what is
	// wrong with them.
	Document struct {
		code     acaciaroute.Code
		lines    map[string]int
		problems []string
	}
)

// Set sets the duration.
func (d *Duration) Set(value time.Duration) {
	*d = Duration(value)
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Decode reads data into target, a pointer to a struct; all errors have code.
func Decode(code acaciaroute.Code, data []byte, target any) (*Document, error) {
	document := &Document{code: code, lines: map[string]int{}}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return nil, document.translate(err)
	}
	document.index(data)
	return document, nil
}

// Add notes a mistake in a key; its line is that of the key or, if it is missing, of
// the table around it.
func (d *Document) Add(key, format string, args ...any) {
	d.problems = append(d.problems, fmt.Sprintf("line %d: %s: %s", d.line(key), key, fmt.Sprintf(format, args...)))
}

// Err returns all mistakes as one error, a line each, or nil.
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

// Require notes the keys that are missing in table, and reports whether none is.
func (d *Document) Require(table string, keys ...string) bool {
	whole := true
	for _, key := range keys {
		if table != "" {
			key = table + "." + key
		}
		if !d.Has(key) {
			d.Add(key, "key is missing")
			whole = false
		}
	}
	return whole
}

func (d *Document) line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		cut := strings.LastIndex(key, ".")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return 1
}

func (d *Document) translate(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		for _, unknown := range strict.Errors {
			line, _ := unknown.Position()
			d.problems = append(d.problems, fmt.Sprintf("line %d: %s: unknown key", line, strings.Join(unknown.Key(), ".")))
		}
		return d.Err()
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return acaciaroute.Errorf(d.code, "line %d: %s: %s", line, strings.Join(decode.Key(), "."), decode.Error())
	}
	return &acaciaroute.Error{Code: d.code, Detail: "line 1: cannot be read", Err: err}
}

// index notes the line of each key, such as class[1].first_token.
func (d *Document) index(data []byte) {
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	counts := map[string]int{}
	for parser.NextExpression() {
		expression := parser.Expression()
		name, line := keyOf(&parser, expression)
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

func keyOf(parser *unstable.Parser, expression *unstable.Node) (string, int) {
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
