package cli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

// connection holds the options of commands that ask a daemon.
type connection struct {
	Admin     string        `arg:"--admin,env:MULBERRYBANK_ADMIN" default:"127.0.0.1:7404" placeholder:"ADDRESS" help:"administration address of any daemon, IP:port or URL"`
	TokenFile string        `arg:"--token-file,env:MULBERRYBANK_TOKEN_FILE" placeholder:"FILE" help:"file that holds the access token"`
	Timeout   time.Duration `arg:"--timeout" default:"10s" help:"time limit of one request"`
}

// client returns a client of the daemon that the options name.
func (c *connection) client(env *env) (*admin.Client, error) {
	token, err := readToken(c.TokenFile)
	if err != nil {
		return nil, err
	}
	return admin.NewClient(c.Admin, token, env.http), nil
}

// limit bounds one request.
func (c *connection) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Timeout)
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read token: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
