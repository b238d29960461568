package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
)

// Row is one measured value.
type Row struct {
	Section string  `json:"section"`
	Case    string  `json:"case"`
	Metric  string  `json:"metric"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Baseline is what Value is compared with, and Ratio is Value / Baseline.
	// Both are 0 without a baseline.
	Baseline float64 `json:"baseline,omitempty"`
	Ratio    float64 `json:"ratio,omitempty"`
}

// table prints rows as they are measured, or all of them as JSON at the end.
type table struct {
	out    io.Writer
	asJSON bool
	rows   []Row
}

const rowFormat = "%-13s %-34s %-22s %12s %-10s %12s %8s\n"

func newTable(out io.Writer, asJSON bool) *table {
	t := &table{out: out, asJSON: asJSON, rows: []Row{}}
	if !asJSON {
		fmt.Fprintf(out, rowFormat, "SECTION", "CASE", "METRIC", "VALUE", "UNIT", "BASELINE", "RATIO")
	}
	return t
}

func (t *table) add(r Row) {
	t.rows = append(t.rows, r)
	if t.asJSON {
		return
	}
	baseline, ratio := "-", "-"
	if r.Baseline != 0 {
		baseline, ratio = number(r.Baseline), fmt.Sprintf("%.2f", r.Ratio)
	}
	fmt.Fprintf(t.out, rowFormat, r.Section, r.Case, r.Metric, number(r.Value), r.Unit, baseline, ratio)
}

// finish prints the rows as JSON if that was asked for.
func (t *table) finish() error {
	if !t.asJSON {
		return nil
	}
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(t.rows)
}

// number formats v with three digits or more.
func number(v float64) string {
	switch a := math.Abs(v); {
	case v == math.Trunc(v) || a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}
