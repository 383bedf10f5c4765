package sidecarbench

import (
	"fmt"
	"strings"
)

// table is a table in Markdown. Its header comes from the first row.
type table struct{ out strings.Builder }

// cell is a value of a row and the title of its column.
type cell struct{ title, value string }

// row adds a row; all rows of a table must have the same columns.
func (t *table) row(cells ...cell) {
	if t.out.Len() == 0 {
		t.line(cells, func(c cell) string { return c.title })
		t.line(cells, func(cell) string { return "---" })
	}
	t.line(cells, func(c cell) string { return c.value })
}

func (t *table) line(cells []cell, text func(cell) string) {
	for _, c := range cells {
		t.out.WriteString("| " + text(c) + " ")
	}
	t.out.WriteString("|\n")
}

// String returns the table.
func (t *table) String() string { return t.out.String() }

// cells are the first cells of all rows.
func (z FleetSize) cells() []cell {
	return []cell{{"peers", fmt.Sprint(z.Peers)}, {"servers", fmt.Sprint(z.Servers)}}
}

// milliseconds formats nanoseconds, decimal a number with so many digits, and so on.
func milliseconds(ns int64) string { return decimal(3, float64(ns)/1e6) }

func megabytes(bytes int64) string { return decimal(1, float64(bytes)/(1<<20)) }

func decimal(digits int, x float64) string { return fmt.Sprintf("%.*f", digits, x) }

func significant(digits int, x float64) string { return fmt.Sprintf("%.*g", digits, x) }
