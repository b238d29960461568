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

// Descriptions of the accepted values, for error messages.
const (
	acceptedDuration = `a number with a unit, such as "300ms", "5s" or "1m30s"`
	acceptedString   = "a string"
	acceptedInteger  = "an integer without a unit"
	acceptedBool     = "true or false"
)

// Parse decodes and validates the settings in data. name is the file name in
// error messages. The error is of type Errors.
func Parse(name string, data []byte) (*Config, error) {
	p := &parseState{file: name, lines: map[string]int{}}
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

// Decode decodes one YAML document into a struct whose fields have yaml tags;
// into is a pointer to it. Like Parse, it rejects unknown keys and values of the
// wrong type. Fields of absent keys remain unchanged. name is the file name in
// error messages, and the error is of type Errors.
func Decode(name string, data []byte, into any) error {
	p := &parseState{file: name, lines: map[string]int{}}
	return p.decode(data, into)
}

func (p *parseState) decode(data []byte, into any) error {
	t := reflect.TypeOf(into).Elem()
	document, err := p.document(data, t)
	if err != nil {
		return err
	}
	p.checkType(document, t, "")
	if len(p.errs) > 0 {
		return p.errs
	}
	if err := yaml.NodeToValue(document, into, yaml.Strict()); err != nil {
		return p.syntaxError(err)
	}
	return nil
}

// parseState records the errors and key positions of one file.
type parseState struct {
	file  string
	lines map[string]int // line of each key in the file, by key path
	errs  Errors
}

// document parses data, which must contain exactly one document, and returns
// the root node of that document.
func (p *parseState) document(data []byte, t reflect.Type) (ast.Node, error) {
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, p.syntaxError(err)
	}
	var documents []ast.Node
	for _, d := range f.Docs {
		if d.Body != nil && d.Body.Type() != ast.CommentType {
			documents = append(documents, d.Body)
		}
	}
	switch len(documents) {
	case 0:
		return nil, Errors{{File: p.file, Line: 1, Problem: "the file is empty", Accepted: "a mapping with " + yamlKeys(t)}}
	case 1:
		return documents[0], nil
	}
	line := documents[1].GetToken().Position.Line
	return nil, Errors{{File: p.file, Line: line, Problem: "a second document starts here", Accepted: "one document"}}
}

// syntaxError converts an error of the YAML library to Errors.
func (p *parseState) syntaxError(err error) error {
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

// addError records that the setting at key is invalid. A missing key is reported
// at the line of the closest enclosing section in the file.
func (p *parseState) addError(key, accepted, format string, args ...any) {
	section := key
	for p.lines[section] == 0 && section != "" {
		section = section[:max(strings.LastIndexAny(section, ".["), 0)]
	}
	line := max(p.lines[section], 1)
	p.errs = append(p.errs, &Error{File: p.file, Line: line, Key: key, Problem: fmt.Sprintf(format, args...), Accepted: accepted})
}

// checkType checks node against the Go type that it is decoded into and
// records the line of each key.
func (p *parseState) checkType(node ast.Node, t reflect.Type, path string) {
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

func (p *parseState) checkMapping(node ast.Node, t reflect.Type, path string) {
	m, ok := node.(ast.MapNode)
	if !ok {
		p.addError(path, "a mapping with "+yamlKeys(t), "%s is no mapping", describeNode(node))
		return
	}
	for it := m.MapRange(); it.Next(); {
		key := it.Key().String()
		child := joinPath(path, key)
		p.lines[child] = it.Key().GetToken().Position.Line
		field, ok := fieldByKey(t, key)
		if !ok {
			p.addError(child, yamlKeys(t), "unknown key")
			continue
		}
		p.checkType(it.Value(), field.Type, child)
	}
}

func (p *parseState) checkSequence(node ast.Node, t reflect.Type, path string) {
	s, ok := node.(*ast.SequenceNode)
	if !ok {
		p.addError(path, "a list", "%s is no list", describeNode(node))
		return
	}
	for i, v := range s.Values {
		p.checkType(v, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (p *parseState) checkDuration(node ast.Node, path string) {
	s, ok := node.(*ast.StringNode)
	if !ok {
		p.addError(path, acceptedDuration, "%s is no duration", describeNode(node))
		return
	}
	if _, err := time.ParseDuration(s.Value); err != nil {
		p.addError(path, acceptedDuration, "%q is no duration", s.Value)
	}
}

func (p *parseState) checkScalar(node ast.Node, t reflect.Type, path string) {
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
		p.addError(path, accepted, "%s has the wrong type", describeNode(node))
	}
}

// describeNode describes a node in an error message.
func describeNode(node ast.Node) string {
	if node.Type() == ast.NullType {
		return "an empty value"
	}
	if _, ok := node.(ast.ScalarNode); ok {
		return fmt.Sprintf("%q", node.GetToken().Value)
	}
	return "a " + strings.ToLower(node.Type().String())
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fieldByKey returns the field of t that has the YAML key.
func fieldByKey(t reflect.Type, key string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); f.Tag.Get("yaml") == key {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// yamlKeys returns the YAML keys of t, separated by commas.
func yamlKeys(t reflect.Type) string {
	var keys []string
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get("yaml"))
	}
	return strings.Join(keys, ", ")
}
