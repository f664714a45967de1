package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

// outputOptions holds the options of commands that print a result.
type outputOptions struct {
	JSON bool `arg:"--json" help:"print JSON for scripts"`
}

// print writes a value as JSON if --json is given, and calls text otherwise.
func (o *outputOptions) print(w io.Writer, value any, text func(io.Writer)) error {
	if !o.JSON {
		text(w)
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}

// columnGap is the number of spaces between columns of a table.
const columnGap = 2

// writeTable aligns the tab-separated cells that write produces in columns.
func writeTable(w io.Writer, write func(io.Writer)) {
	columns := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	write(columns)
	_ = columns.Flush()
}

// writeVerdict writes a verdict in a human-readable form.
func writeVerdict(w io.Writer, verdict *admin.Verdict) {
	switch verdict.Outcome {
	case "accepted":
		fmt.Fprintf(w, "accepted: workspace %s is now version %d\n", verdict.Workspace, verdict.Version)
	case "conflict":
		fmt.Fprintf(w, "conflict: workspace %s is already version %d by %s\n",
			verdict.Workspace, verdict.ConflictVersion, orUnknown(verdict.ConflictAuthor))
	default:
		fmt.Fprintf(w, "%s: workspace %s\n", verdict.Outcome, verdict.Workspace)
	}
	for _, problem := range verdict.Problems {
		fmt.Fprintf(w, "  %s: %s\n", problem.Place, problem.Reason)
	}
}

func orUnknown(text string) string {
	if text == "" {
		return "(unknown)"
	}
	return text
}

// verdictError returns errRefused unless the publication, or the one that it
// duplicates, was accepted.
func verdictError(verdict *admin.Verdict) error {
	switch {
	case verdict.Outcome == "accepted":
		return nil
	case verdict.Outcome == "duplicate" && verdict.Version != 0:
		return nil
	default:
		return errRefused
	}
}
