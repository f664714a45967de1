package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/mulberrybank/mulberrybank/internal/story"
)

// storyCommand prints what the logs of daemons contain about one call.
type storyCommand struct {
	Call  string   `arg:"--call,required" placeholder:"ID" help:"id of the call"`
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of daemons; standard input when none is given"`
}

func (*storyCommand) example() string {
	return "mulberrybank story --call 596d271a69ed95e9 /var/log/mulberrybank/*.log"
}

func (c *storyCommand) run(_ context.Context, env *env) error {
	lines, err := c.readAll()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line of call %s found; successful calls are logged at level debug only", c.Call)
	}
	story.Sort(lines)
	for _, line := range lines {
		fmt.Fprintln(env.stdout, line.Describe())
	}
	return nil
}

func (c *storyCommand) readAll() ([]story.Line, error) {
	if len(c.Files) == 0 {
		return story.Read(os.Stdin, "stdin", c.Call)
	}
	var lines []story.Line
	for _, path := range c.Files {
		found, err := c.readFile(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

func (c *storyCommand) readFile(path string) ([]story.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	return story.Read(file, name, c.Call)
}
