package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

// waiting holds the options of commands that can wait for a version.
type waiting struct {
	Wait        bool          `arg:"--wait" help:"wait until the version is in force on all living daemons"`
	WaitTimeout time.Duration `arg:"--wait-timeout" default:"30s" help:"time limit of --wait"`
}

// pollInterval is the time between two requests for the status.
const pollInterval = 100 * time.Millisecond

// until waits for a version, if asked to, and shows progress.
func (o *waiting) until(ctx context.Context, client *admin.Client, progress io.Writer, version uint64) error {
	if !o.Wait || version == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.WaitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	shown := ""
	for {
		status, err := client.Status(ctx)
		text := progressText(version, status, err)
		if text != shown && ctx.Err() == nil {
			fmt.Fprintln(progress, text)
			shown = text
		}
		if err == nil && converged(version, status) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for version %d: %w; last seen: %s", version, ctx.Err(), shown)
		}
	}
}

// converged reports whether every living daemon has a version in force.
func converged(version uint64, status *admin.Status) bool {
	c := status.Convergence
	return status.Offset >= version && c.Living > 0 && c.Lowest >= version
}

func progressText(version uint64, status *admin.Status, err error) string {
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
	return fmt.Sprintf("version %d: in force on %d of %d daemons%s", version, c.InForce, c.Living, missingText(c.Missing))
}

// maxMissingShown is how many missing daemons a line names.
const maxMissingShown = 5

// missingText names missing daemons without their ages, which would change
// with every poll.
func missingText(missing []admin.Missing) string {
	if len(missing) == 0 {
		return ""
	}
	var names []string
	for _, m := range missing[:min(len(missing), maxMissingShown)] {
		names = append(names, m.Host)
	}
	return "; missing: " + strings.Join(names, ", ")
}
