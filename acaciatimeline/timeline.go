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
	// Filter selects the events of a timeline; a zero field does not restrict the
	// selection.
	Filter struct {
		RequestID string
		From      time.Time
		To        time.Time
		// IncludeContext adds to the events of RequestID those that belong to no
		// request, such as changes of an endpoint's speed, from contextBefore before
		// the request's first event to contextAfter after its last one. It replaces
		// From and To.
		IncludeContext bool
	}

	// page is the data of the page template.
	page struct {
		Requests []requestRow
		Events   []acaciaevent.Event
	}

	// requestRow describes the bar of one request, which consists of phases.
	requestRow struct {
		RequestID string
		Class     string
		Phases    []phase
	}

	// phase is one section of a bar. Left and Width are percentages of the bar's full
	// length; Name is also the CSS class.
	phase struct {
		Name  string
		Left  float64
		Width float64
	}
)

//go:embed page.html
var pageFiles embed.FS

var pageTemplate = template.Must(template.ParseFS(pageFiles, "page.html"))

const (
	// maxRequestRows is the maximum number of requests that a page shows as bars.
	maxRequestRows = 400

	// contextBefore and contextAfter are how long before a request's first event and how
	// long after its last one Filter.IncludeContext adds events.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

// Merge returns the events that the filter selects, in order of their stamps and
// without duplicates.
func Merge(events []acaciaevent.Event, filter Filter) []acaciaevent.Event {
	if filter.IncludeContext && filter.RequestID != "" {
		filter = filter.aroundRequest(events)
	}
	selected := slices.DeleteFunc(slices.Clone(events), func(e acaciaevent.Event) bool { return !filter.contains(e) })
	slices.SortFunc(selected, func(a, b acaciaevent.Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Kind, b.Kind))
	})
	return slices.CompactFunc(selected, func(a, b acaciaevent.Event) bool {
		return a.Stamp == b.Stamp && a.Process == b.Process
	})
}

// WriteText writes the events as a text table.
func WriteText(w io.Writer, events []acaciaevent.Event) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, e := range events {
		_, err := fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", e.Stamp.Time().UTC().Format("15:04:05.000"),
			e.Process, int(e.Kind), e.Name, e.RequestID, e.Class, e.Organisation, eventDetails(e))
		if err != nil {
			return err
		}
	}
	return table.Flush()
}

// WriteHTML writes the events as a self-contained HTML page.
func WriteHTML(w io.Writer, events []acaciaevent.Event) error {
	return pageTemplate.Execute(w, page{Requests: requestRows(events), Events: events})
}

// aroundRequest returns the filter with its times set to those around its request's
// events.
func (f Filter) aroundRequest(events []acaciaevent.Event) Filter {
	var from, to time.Time
	for _, e := range events {
		at := e.Stamp.Time()
		if e.RequestID != f.RequestID {
			continue
		}
		if from.IsZero() || at.Before(from) {
			from = at
		}
		if at.After(to) {
			to = at
		}
	}
	f.From, f.To = from.Add(-contextBefore), to.Add(contextAfter)
	return f
}

// contains reports whether the filter selects the event.
func (f Filter) contains(e acaciaevent.Event) bool {
	at := e.Stamp.Time()
	return (f.RequestID == "" || e.RequestID == f.RequestID || f.IncludeContext && e.RequestID == "") &&
		(f.From.IsZero() || !at.Before(f.From)) &&
		(f.To.IsZero() || !at.After(f.To))
}

// eventDetails returns, as one text, the fields that only some events have.
func eventDetails(e acaciaevent.Event) string {
	details := e.Detail
	if e.Endpoint != "" {
		details = "at " + e.Endpoint + " " + details
	}
	if e.Code != 0 {
		details = fmt.Sprintf("code %d %s", int(e.Code), details)
	}
	if e.Version != 0 {
		details = fmt.Sprintf("version %d %s", e.Version, details)
	}
	if e.Count != 0 {
		details = fmt.Sprintf("count %d %s", e.Count, details)
	}
	if e.Inputs != nil {
		details += " " + e.Inputs.String()
	}
	return details
}

// requestRows returns a row for each request, up to maxRequestRows. The row shows the
// request from its arrival through its dispatch and first token to its end, in percent of
// the time that the events span.
func requestRows(events []acaciaevent.Event) []requestRow {
	if len(events) == 0 {
		return nil
	}
	begin := events[0].Stamp.Time()
	span := max(events[len(events)-1].Stamp.Time().Sub(begin), time.Millisecond)
	percent := func(t time.Time) float64 { return 100 * float64(t.Sub(begin)) / float64(span) }
	byRequest := map[string][]acaciaevent.Event{}
	var requestIDs []string
	for _, e := range events {
		if e.RequestID == "" {
			continue
		}
		if _, ok := byRequest[e.RequestID]; !ok {
			requestIDs = append(requestIDs, e.RequestID)
		}
		byRequest[e.RequestID] = append(byRequest[e.RequestID], e)
	}
	var rows []requestRow
	for _, id := range requestIDs[:min(len(requestIDs), maxRequestRows)] {
		rows = append(rows, newRequestRow(id, byRequest[id], percent))
	}
	return rows
}

// newRequestRow returns the row of one request; percent converts a time to its position
// on the bar.
func newRequestRow(id string, events []acaciaevent.Event, percent func(time.Time) float64) requestRow {
	row := requestRow{RequestID: id, Class: events[0].Class}
	name := "waiting"
	from := percent(events[0].Stamp.Time())
	endPhase := func(e acaciaevent.Event, next string) {
		to := percent(e.Stamp.Time())
		row.Phases = append(row.Phases, phase{Name: name, Left: from, Width: max(to-from, 0.1)})
		name, from = next, to
	}
	for _, e := range events {
		switch e.Kind {
		case acaciaevent.RequestDispatched:
			endPhase(e, "prefill")
		case acaciaevent.FirstToken:
			endPhase(e, "answer")
		case acaciaevent.AnswerDelivered:
			endPhase(e, "done")
		case acaciaevent.RequestShed, acaciaevent.AnswerCut, acaciaevent.OutcomeUnknown, acaciaevent.RequestCancelled:
			name = "failed"
			endPhase(e, "done")
		}
	}
	return row
}
