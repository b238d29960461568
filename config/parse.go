package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Accepted forms of values, as error messages name them.
const (
	acceptedDuration = `a number with a unit, such as "300ms", "5s" or "1m30s"`
	acceptedString   = "a string"
	acceptedInteger  = "an integer without a unit"
	acceptedBool     = "true or false"
)

// Parse checks the settings in data. name is the file name for errors. The
// error is of type Errors.
func Parse(name string, data []byte) (*Config, error) {
	p := &reader{file: name, lines: map[string]int{}}
	c := Default()
	if err := p.decode(data, c); err != nil {
		return nil, err
	}
	p.validate(c)
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	return c, nil
}

// Decode reads one YAML document into a struct whose fields have yaml tags.
// It refuses what Parse refuses of the form of settings: unknown keys and
// values of a wrong type. Keys that are absent leave their fields unchanged.
func Decode(name string, data []byte, into any) error {
	p := &reader{file: name, lines: map[string]int{}}
	return p.decode(data, into)
}

func (p *reader) decode(data []byte, into any) error {
	t := reflect.TypeOf(into).Elem()
	root, err := p.root(data, t)
	if err != nil {
		return err
	}
	p.checkShape(root, t, "")
	if len(p.errs) > 0 {
		return p.errs
	}
	if err := yaml.NodeToValue(root, into, yaml.Strict()); err != nil {
		return p.syntaxError(err)
	}
	return nil
}

// reader collects the errors of one file.
type reader struct {
	file  string
	lines map[string]int // line of each key that the file has
	errs  Errors
}

// root parses data and returns its single document.
func (p *reader) root(data []byte, t reflect.Type) (ast.Node, error) {
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, p.syntaxError(err)
	}
	var bodies []ast.Node
	for _, d := range f.Docs {
		if d.Body != nil && d.Body.Type() != ast.CommentType {
			bodies = append(bodies, d.Body)
		}
	}
	switch len(bodies) {
	case 0:
		return nil, Errors{{File: p.file, Line: 1, Problem: "the file is empty", Accepted: "a mapping with " + keysOf(t)}}
	case 1:
		return bodies[0], nil
	}
	line := bodies[1].GetToken().Position.Line
	return nil, Errors{{File: p.file, Line: line, Problem: "a second document starts here", Accepted: "one document"}}
}

// syntaxError converts an error of the YAML library.
func (p *reader) syntaxError(err error) error {
	e := &Error{File: p.file, Line: 1, Problem: err.Error()}
	var ye yaml.Error
	if errors.As(err, &ye) {
		e.Problem = "malformed YAML: " + ye.GetMessage()
		if t := ye.GetToken(); t != nil {
			e.Line = t.Position.Line
		}
	}
	return Errors{e}
}

// fail records that the setting at key was refused. A missing key is reported
// at the line of the nearest section that the file has.
func (p *reader) fail(key, accepted, format string, args ...any) {
	at := key
	for p.lines[at] == 0 && at != "" {
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
	}
	line := max(p.lines[at], 1)
	p.errs = append(p.errs, &Error{File: p.file, Line: line, Key: key, Problem: fmt.Sprintf(format, args...), Accepted: accepted})
}

// checkShape compares node with the Go type that it is decoded into and
// records the line of each key.
func (p *reader) checkShape(node ast.Node, t reflect.Type, path string) {
	if p.lines[path] == 0 {
		p.lines[path] = node.GetToken().Position.Line
	}
	switch {
	case t == reflect.TypeFor[time.Duration]():
		p.checkDuration(node, path)
	case t.Kind() == reflect.Struct:
		p.checkMapping(node, t, path)
	case t.Kind() == reflect.Slice:
		p.checkSequence(node, t, path)
	default:
		p.checkScalar(node, t, path)
	}
}

func (p *reader) checkMapping(node ast.Node, t reflect.Type, path string) {
	m, ok := node.(ast.MapNode)
	if !ok {
		p.fail(path, "a mapping with "+keysOf(t), "%s is no mapping", describe(node))
		return
	}
	for it := m.MapRange(); it.Next(); {
		key := it.Key().String()
		child := join(path, key)
		p.lines[child] = it.Key().GetToken().Position.Line
		field, ok := fieldOf(t, key)
		if !ok {
			p.fail(child, keysOf(t), "unknown key")
			continue
		}
		p.checkShape(it.Value(), field.Type, child)
	}
}

func (p *reader) checkSequence(node ast.Node, t reflect.Type, path string) {
	s, ok := node.(*ast.SequenceNode)
	if !ok {
		p.fail(path, "a list", "%s is no list", describe(node))
		return
	}
	for i, v := range s.Values {
		p.checkShape(v, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (p *reader) checkDuration(node ast.Node, path string) {
	s, ok := node.(*ast.StringNode)
	if !ok {
		p.fail(path, acceptedDuration, "%s is no duration", describe(node))
		return
	}
	if _, err := time.ParseDuration(s.Value); err != nil {
		p.fail(path, acceptedDuration, "%q is no duration", s.Value)
	}
}

func (p *reader) checkScalar(node ast.Node, t reflect.Type, path string) {
	ok, accepted := false, ""
	switch t.Kind() {
	case reflect.String:
		_, ok = node.(*ast.StringNode)
		accepted = acceptedString
	case reflect.Bool:
		_, ok = node.(*ast.BoolNode)
		accepted = acceptedBool
	default:
		_, ok = node.(*ast.IntegerNode)
		accepted = acceptedInteger
	}
	if !ok {
		p.fail(path, accepted, "%s has the wrong type", describe(node))
	}
}

// describe names a node in an error message.
func describe(node ast.Node) string {
	if node.Type() == ast.NullType {
		return "an empty value"
	}
	if _, ok := node.(ast.ScalarNode); ok {
		return fmt.Sprintf("%q", node.GetToken().Value)
	}
	return "a " + strings.ToLower(node.Type().String())
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fieldOf returns the field of t for a YAML key.
func fieldOf(t reflect.Type, key string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); f.Tag.Get("yaml") == key {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// keysOf lists the YAML keys of t.
func keysOf(t reflect.Type) string {
	var keys []string
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get("yaml"))
	}
	return strings.Join(keys, ", ")
}
