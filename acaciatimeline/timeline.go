package acaciatimeline

import (
	"cmp"
	"embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

type (
	// Window chooses events; zero fields choose all.
	Window struct {
		RequestID string
		From      time.Time
		To        time.Time
		// Context adds to the events of RequestID those of no request, such as changes
		// of an endpoint's speed, from contextBefore before its first one to
		// contextAfter after its last.
		Context bool
	}

	// page is what the template of the page gets.
	page struct {
		Requests []requestRow
		Events   []acaciaevent.Event
	}

	// requestRow draws one request as a bar of phases.
	requestRow struct {
		RequestID string
		Class     string
		Phases    []phase
	}

	phase struct {
		Name  string
		Left  float64
		Width float64
	}
)

//go:embed page.html
var files embed.FS

var pageTemplate = template.Must(template.ParseFS(files, "page.html"))

const (
	maxRows = 400

	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

// Merge returns the chosen events in order, each once.
func Merge(events []acaciaevent.Event, window Window) []acaciaevent.Event {
	if window.Context && window.RequestID != "" {
		window = window.around(events)
	}
	chosen := slices.DeleteFunc(slices.Clone(events), func(e acaciaevent.Event) bool { return !window.holds(e) })
	slices.SortFunc(chosen, func(a, b acaciaevent.Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Kind, b.Kind))
	})
	return slices.CompactFunc(chosen, func(a, b acaciaevent.Event) bool {
		return a.Stamp == b.Stamp && a.Process == b.Process
	})
}

// WriteText writes events as a table.
func WriteText(w io.Writer, events []acaciaevent.Event) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, e := range events {
		_, err := fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", e.Stamp.Time().UTC().Format("15:04:05.000"),
			e.Process, int(e.Kind), e.Name, e.RequestID, e.Class, e.Organisation, about(e))
		if err != nil {
			return err
		}
	}
	return table.Flush()
}

// WriteHTML writes events as a self-contained page.
func WriteHTML(w io.Writer, events []acaciaevent.Event) error {
	return pageTemplate.Execute(w, page{Requests: rows(events), Events: events})
}

// around narrows the window to the time of its request.
func (w Window) around(events []acaciaevent.Event) Window {
	var from, to time.Time
	for _, e := range events {
		at := e.Stamp.Time()
		if e.RequestID != w.RequestID {
			continue
		}
		if from.IsZero() || at.Before(from) {
			from = at
		}
		if at.After(to) {
			to = at
		}
	}
	w.From, w.To = from.Add(-contextBefore), to.Add(contextAfter)
	return w
}

func (w Window) holds(e acaciaevent.Event) bool {
	at := e.Stamp.Time()
	return (w.RequestID == "" || e.RequestID == w.RequestID || w.Context && e.RequestID == "") &&
		(w.From.IsZero() || !at.Before(w.From)) &&
		(w.To.IsZero() || !at.After(w.To))
}

// about gathers the fields that only some events have.
func about(e acaciaevent.Event) string {
	text := e.Detail
	if e.Endpoint != "" {
		text = "at " + e.Endpoint + " " + text
	}
	if e.Code != 0 {
		text = fmt.Sprintf("code %d %s", int(e.Code), text)
	}
	if e.Version != 0 {
		text = fmt.Sprintf("version %d %s", e.Version, text)
	}
	if e.Count != 0 {
		text = fmt.Sprintf("count %d %s", e.Count, text)
	}
	if e.Inputs != nil {
		text += " " + e.Inputs.String()
	}
	return text
}

// rows draws each request from its arrival over its dispatch and first token to
// its end, in percent of the whole window.
func rows(events []acaciaevent.Event) []requestRow {
	if len(events) == 0 {
		return nil
	}
	begin := events[0].Stamp.Time()
	span := max(events[len(events)-1].Stamp.Time().Sub(begin), time.Millisecond)
	percent := func(t time.Time) float64 { return 100 * float64(t.Sub(begin)) / float64(span) }
	byRequest := map[string][]acaciaevent.Event{}
	var order []string
	for _, e := range events {
		if e.RequestID == "" {
			continue
		}
		if _, ok := byRequest[e.RequestID]; !ok {
			order = append(order, e.RequestID)
		}
		byRequest[e.RequestID] = append(byRequest[e.RequestID], e)
	}
	var drawn []requestRow
	for _, id := range order[:min(len(order), maxRows)] {
		drawn = append(drawn, drawRequest(id, byRequest[id], percent))
	}
	return drawn
}

func drawRequest(id string, events []acaciaevent.Event, percent func(time.Time) float64) requestRow {
	row := requestRow{RequestID: id, Class: events[0].Class}
	name := "waiting"
	from := percent(events[0].Stamp.Time())
	cut := func(e acaciaevent.Event, next string) {
		to := percent(e.Stamp.Time())
		row.Phases = append(row.Phases, phase{Name: name, Left: from, Width: max(to-from, 0.1)})
		name, from = next, to
	}
	for _, e := range events {
		switch e.Kind {
		case acaciaevent.RequestDispatched:
			cut(e, "prefill")
		case acaciaevent.FirstToken:
			cut(e, "answer")
		case acaciaevent.AnswerDelivered:
			cut(e, "done")
		case acaciaevent.RequestShed, acaciaevent.AnswerCut, acaciaevent.OutcomeUnknown, acaciaevent.RequestCancelled:
			name = "failed"
			cut(e, "done")
		}
	}
	return row
}
