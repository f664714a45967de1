package timeline

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
)

//go:embed timeline.html
var pageHTML string

var pageTemplate = template.Must(template.New("timeline").Parse(pageHTML))

// pageData is the data of the page template. Span and the times of rows are in
// milliseconds, those of rows since the first event.
type pageData struct {
	Start string
	Span  int64
	Hosts []string
	Rows  []pageRow
}

// pageRow is one event. Host is an index into pageData.Hosts.
type pageRow struct {
	At   int64  `json:"at"`
	Host int    `json:"host"`
	Kind Kind   `json:"kind"`
	Text string `json:"text"`
}

// WriteHTML writes events as one self-contained HTML page with one lane per host.
// The mouse wheel zooms, dragging pans, and the text field filters events.
func WriteHTML(w io.Writer, events []Event) error {
	if err := pageTemplate.Execute(w, newPageData(events)); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

func newPageData(events []Event) pageData {
	data := pageData{Rows: []pageRow{}}
	for _, event := range events {
		if !slices.Contains(data.Hosts, event.Host) {
			data.Hosts = append(data.Hosts, event.Host)
		}
	}
	slices.Sort(data.Hosts)
	if len(events) == 0 {
		return data
	}
	first := events[0].Time.Millis
	data.Start = events[0].Time.Format()
	data.Span = events[len(events)-1].Time.Millis - first
	for _, event := range events {
		lane, _ := slices.BinarySearch(data.Hosts, event.Host)
		data.Rows = append(data.Rows, pageRow{event.Time.Millis - first, lane, event.Kind, event.String()})
	}
	return data
}
