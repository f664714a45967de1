package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

// waitOptions holds the options of commands that can wait for a version.
type waitOptions struct {
	Wait        bool          `arg:"--wait" help:"wait until the version is in force on all living daemons"`
	WaitTimeout time.Duration `arg:"--wait-timeout" default:"30s" help:"time limit of --wait"`
}

// pollInterval is the time between two status requests.
const pollInterval = 100 * time.Millisecond

// waitForVersion waits until a version is active on all live daemons, if --wait is
// given, and prints the progress.
func (o *waitOptions) waitForVersion(ctx context.Context, client *admin.Client, progress io.Writer, version uint64) error {
	if !o.Wait || version == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.WaitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastText := ""
	for {
		status, err := client.Status(ctx)
		text := formatProgress(version, status, err)
		if text != lastText && ctx.Err() == nil {
			fmt.Fprintln(progress, text)
			lastText = text
		}
		if err == nil && converged(version, status) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for version %d: %w; last status: %s", version, ctx.Err(), lastText)
		}
	}
}

// converged reports whether a version is active on every live daemon.
func converged(version uint64, status *admin.Status) bool {
	c := status.Convergence
	return status.Offset >= version && c.Living > 0 && c.Lowest >= version
}

func formatProgress(version uint64, status *admin.Status, err error) string {
	if err != nil {
		return "status: " + err.Error()
	}
	c := status.Convergence
	if status.Offset < version {
		return fmt.Sprintf("version %d: not yet in force on %s", version, status.Host)
	}
	if c.Lowest >= version && c.Living > 0 {
		return fmt.Sprintf("version %d: in force on %d of %d daemons", version, c.Living, c.Living)
	}
	return fmt.Sprintf("version %d: in force on %d of %d daemons%s", version, c.InForce, c.Living, formatMissing(c.Missing))
}

// maxMissingShown limits the missing daemons named in one line.
const maxMissingShown = 5

// formatMissing lists missing daemons without the time since their last message,
// which would change with every poll.
func formatMissing(missing []admin.Missing) string {
	if len(missing) == 0 {
		return ""
	}
	var names []string
	for _, m := range missing[:min(len(missing), maxMissingShown)] {
		names = append(names, m.Host)
	}
	return "; missing: " + strings.Join(names, ", ")
}
