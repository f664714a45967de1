package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

// statusCommand prints the configuration status of one daemon.
type statusCommand struct {
	connectionOptions
	outputOptions
}

func (*statusCommand) example() string { return "mulberrybank status --admin 10.0.0.7:7404" }

func (c *statusCommand) run(ctx context.Context, env *env) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return c.print(env.stdout, status, func(w io.Writer) { writeStatus(w, status) })
}

func writeStatus(w io.Writer, s *admin.Status) {
	writeTable(w, func(w io.Writer) {
		fmt.Fprintf(w, "host\t%s in %s\n", s.Host, s.Zone)
		fmt.Fprintf(w, "version\t%d at offset %d, digest %s\n", s.Version, s.Offset, s.Digest)
		fmt.Fprintf(w, "serving\t%d services, %d routes\n", s.Services, s.Routes)
		fmt.Fprintf(w, "staleness\t%s\n", formatStaleness(s.StalenessMillis))
		if s.Stopped != "" {
			fmt.Fprintf(w, "stopped\t%s\n", s.Stopped)
		}
		c := s.Convergence
		fmt.Fprintf(w, "convergence\toffset %d in force on %d of %d daemons, lowest %d\n", c.Offset, c.InForce, c.Living, c.Lowest)
		for _, m := range c.Missing {
			fmt.Fprintf(w, "missing\t%s, last heard %s ago\n", m.Host, time.Duration(m.HeardMillis)*time.Millisecond)
		}
	})
}

func formatStaleness(millis int64) string {
	if millis < 0 {
		return "never had all records"
	}
	return (time.Duration(millis) * time.Millisecond).String()
}
