package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/goccy/go-yaml"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

func validateOutput(format string) error {
	switch format {
	case outputTable, outputJSON, outputYAML:
		return nil
	}
	return usageError("--output %q is not known; use table, json or yaml", format)
}

// table is the human-readable form of a result. Rows have one cell per column.
type table struct {
	heading string // printed above the table
	columns []string
	rows    [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = formatCell(c)
	}
	t.rows = append(t.rows, row)
}

// formatCell formats a value. A nil pointer or an empty string becomes a dash.
func formatCell(v any) string {
	rv := reflect.ValueOf(v)
	if rv.Kind() == reflect.Pointer {
		if rv.IsNil() {
			return "-"
		}
		rv = rv.Elem()
	}
	if s := fmt.Sprint(rv.Interface()); s != "" {
		return s
	}
	return "-"
}

func (t *table) write(w io.Writer) error {
	fmt.Fprint(w, t.heading)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.ToUpper(strings.Join(t.columns, "\t")))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// printResult writes a result in the format of --output. It calls buildTable for
// a table only.
func (o *options) printResult(w io.Writer, result any, buildTable func() *table) error {
	switch o.output {
	case outputJSON:
		data, err := json.MarshalIndent(encodeValue(reflect.ValueOf(result)), "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "%s\n", data)
		return err
	case outputYAML:
		data, err := yaml.Marshal(encodeValue(reflect.ValueOf(result)))
		if err != nil {
			return err
		}
		_, err = w.Write(data)
		return err
	}
	return buildTable().write(w)
}

// orderedObject represents a struct as a list of fields, to encode them in the
// order of their declaration.
type orderedObject []orderedField

type orderedField struct {
	name  string
	value any
}

// MarshalJSON implements json.Marshaler.
func (o orderedObject) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte('{')
	for i, f := range o {
		value, err := json.Marshal(f.value)
		if err != nil {
			return nil, err
		}
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%q:%s", f.name, value)
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}

// MarshalYAML implements yaml.InterfaceMarshaler.
func (o orderedObject) MarshalYAML() (any, error) {
	m := make(yaml.MapSlice, len(o))
	for i, f := range o {
		m[i] = yaml.MapItem{Key: f.name, Value: f.value}
	}
	return m, nil
}

// encodeValue converts a generated result type to values with the field names of
// the API schema. It omits optional fields that are nil.
func encodeValue(v reflect.Value) any {
	switch v.Kind() {
	case reflect.Pointer:
		return encodeValue(v.Elem())
	case reflect.Struct:
		o := orderedObject{}
		for i := range v.NumField() {
			if f := v.Field(i); f.Kind() != reflect.Pointer || !f.IsNil() {
				o = append(o, orderedField{snakeCase(v.Type().Field(i).Name), encodeValue(f)})
			}
		}
		return o
	case reflect.Slice:
		list := make([]any, v.Len())
		for i := range list {
			list[i] = encodeValue(v.Index(i))
		}
		return list
	}
	return v.Interface()
}

// snakeCase converts a Go field name such as GroupID or TimeMs to snake case. It
// treats consecutive upper-case letters as one word.
func snakeCase(name string) string {
	var b strings.Builder
	runes := []rune(name)
	for i, r := range runes {
		if unicode.IsUpper(r) && i > 0 {
			endsWord := unicode.IsLower(runes[i-1])
			startsWord := i+1 < len(runes) && unicode.IsLower(runes[i+1])
			if endsWord || startsWord {
				b.WriteByte('_')
			}
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
