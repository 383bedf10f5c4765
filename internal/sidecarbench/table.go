package sidecarbench

import (
	"fmt"
	"strings"
)

// table builds a Markdown table. The header consists of the column titles of the first row.
type table struct{ out strings.Builder }

// cell is a value in a row, with the title of its column.
type cell struct{ title, value string }

// addRow adds a row. All rows of a table must have the same columns.
func (t *table) addRow(cells ...cell) {
	if t.out.Len() == 0 {
		t.writeLine(cells, func(c cell) string { return c.title })
		t.writeLine(cells, func(cell) string { return "---" })
	}
	t.writeLine(cells, func(c cell) string { return c.value })
}

// writeLine writes one line of the table. text returns the content of a cell in this line.
func (t *table) writeLine(cells []cell, text func(cell) string) {
	for _, c := range cells {
		t.out.WriteString("| " + text(c) + " ")
	}
	t.out.WriteString("|\n")
}

// String returns the table as Markdown.
func (t *table) String() string { return t.out.String() }

// sizeCells returns the cells with which every row begins.
func (s FleetSize) sizeCells() []cell {
	return []cell{{"peers", fmt.Sprint(s.Peers)}, {"servers", fmt.Sprint(s.Servers)}}
}

// formatMilliseconds formats a time in nanoseconds as milliseconds with three decimal places.
func formatMilliseconds(ns int64) string { return formatDecimal(3, float64(ns)/1e6) }

// formatMegabytes formats a size in bytes as mebibytes with one decimal place.
func formatMegabytes(bytes int64) string { return formatDecimal(1, float64(bytes)/(1<<20)) }

// formatDecimal formats a number with a fixed number of decimal places.
func formatDecimal(digits int, x float64) string { return fmt.Sprintf("%.*f", digits, x) }

// formatSignificant formats a number with at most the given number of significant digits.
func formatSignificant(digits int, x float64) string { return fmt.Sprintf("%.*g", digits, x) }
