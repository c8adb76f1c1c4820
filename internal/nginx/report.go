package nginx

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Outcome says how a directive was imported.
type Outcome string

// The outcomes. A translated directive has the same meaning in the output. One that differs has the same meaning except for what its
// note says.
const (
	Translated Outcome = "carried"
	Differs    Outcome = "differs"
	Dropped    Outcome = "dropped"
)

// Entry is one directive of the input in a report.
type Entry struct {
	File      string  `json:"file"`
	Line      int     `json:"line"`
	Column    int     `json:"column"`
	Directive string  `json:"directive"`
	Outcome   Outcome `json:"fate"`
	Output    int     `json:"output_line,omitempty"` // the first line of its translation; 0 for none
	Note      string  `json:"note,omitempty"`        // what differs and when, or why it was dropped and what to do
}

// Report accounts for each directive of the input once.
type Report struct {
	Entries []Entry         `json:"directives"`
	Totals  map[Outcome]int `json:"totals"`
}

// outcomes holds the outcome of each directive. The first one that is recorded is kept unless a later one is worse. Notes are joined.
type outcomes map[*Directive]*Entry

// record records an outcome. line is the line of the output; 0 for none.
func (m outcomes) record(d *Directive, f Outcome, line int, note string) {
	e := m[d]
	if e == nil {
		m[d] = &Entry{File: d.Pos.File, Line: d.Pos.Line, Column: d.Pos.Column, Directive: d.summary(), Outcome: f, Output: line, Note: note}
		return
	}
	if e.Output == 0 {
		e.Output = line
	}
	if e.Outcome == Translated || f == Dropped {
		e.Outcome = f
	}
	if note != "" && !strings.Contains(e.Note, note) {
		if e.Note != "" {
			e.Note += "; "
		}
		e.Note += note
	}
}

// maxSummary bounds the text of a directive in a report, in bytes.
const maxSummary = 200

// summary returns a directive in one line, without its block.
func (d *Directive) summary() string {
	var out strings.Builder
	out.WriteString(d.Name)
	for _, a := range d.Args {
		out.WriteString(" " + quote(a.Text, a.Quoted))
	}
	if out.Len() > maxSummary {
		return strings.ToValidUTF8(out.String()[:maxSummary], "") + "..."
	}
	return out.String()
}

// newReport lists every directive of a tree, and the includes. A directive without an outcome was dropped.
func (m outcomes) newReport(f *File) *Report {
	r := &Report{Totals: map[Outcome]int{Translated: 0, Differs: 0, Dropped: 0}}
	add := func(d *Directive) {
		if m[d] == nil {
			m.record(d, Dropped, 0, "it has no counterpart")
		}
		r.Entries = append(r.Entries, *m[d])
		r.Totals[m[d].Outcome]++
	}
	Walk(f.Directives, add)
	for _, d := range f.Includes {
		m.record(d, Translated, 0, "it is replaced by the included directives")
		add(d)
	}
	slices.SortStableFunc(r.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r
}

// JSON writes the report in JSON.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(r)
}

// Table writes the directives that were dropped or differ as a table, and totals.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, e := range r.Entries {
		if e.Outcome == Translated {
			continue
		}
		fmt.Fprintf(t, "%s:%d\t%s\t%s\t%s\n", e.File, e.Line, e.Outcome, truncate(e.Directive, maxTableText), e.Note)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "directives: %d; carried: %d, with a difference: %d, dropped: %d\n",
		len(r.Entries), r.Totals[Translated], r.Totals[Differs], r.Totals[Dropped])
	return err
}

// maxTableText bounds the text of a directive in a table, in bytes.
const maxTableText = 48

func truncate(s string, maxBytes int) string {
	if len(s) <= maxBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxBytes], "") + "..."
}
