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
	// Baseline is the value of the baseline case, and Ratio is Value / Baseline.
	// Both are 0 without a baseline.
	Baseline float64 `json:"baseline,omitempty"`
	Ratio    float64 `json:"ratio,omitempty"`
}

// table prints each row when it is added, or all rows as JSON in finish.
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
		baseline, ratio = formatNumber(r.Baseline), fmt.Sprintf("%.2f", r.Ratio)
	}
	fmt.Fprintf(t.out, rowFormat, r.Section, r.Case, r.Metric, formatNumber(r.Value), r.Unit, baseline, ratio)
}

// finish prints all rows if the output is JSON.
func (t *table) finish() error {
	if !t.asJSON {
		return nil
	}
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(t.rows)
}

// formatNumber formats v with at least three significant digits, or without
// decimals if it is an integer.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case v == math.Trunc(v) || a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}
