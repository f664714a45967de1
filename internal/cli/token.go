package cli

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"os"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// tokenCommand generates an access token and prints the entry for the workspace.
type tokenCommand struct {
	Name string       `arg:"positional,required" help:"name of the holder, shown as the author of publications"`
	Role publish.Role `arg:"--role,required" help:"reader, publisher or administrator"`
	File string       `arg:"--file,required" help:"new file that takes the token"`
	outputOptions
}

func (*tokenCommand) example() string {
	return "mulberrybank token ci --role publisher --file ci.token"
}

// tokenBytes is the number of random bytes in a token.
const tokenBytes = 32

func (c *tokenCommand) run(_ context.Context, env *env) error {
	if c.Role.Rank() == 0 {
		return &usageError{fmt.Sprintf("--role: found %q, expected reader, publisher or administrator", c.Role)}
	}
	secret := make([]byte, tokenBytes)
	if _, err := rand.Read(secret); err != nil {
		return fmt.Errorf("generate token: %w", err)
	}
	text := base64.RawURLEncoding.EncodeToString(secret)
	if err := writeToken(c.File, text); err != nil {
		return err
	}
	token := publish.Token{Name: c.Name, SHA256: publish.HashToken(text), Role: c.Role}
	return c.print(env.stdout, token, func(w io.Writer) {
		fmt.Fprintf(w, "the token is in %s; add to a template of the workspace:\n", c.File)
		fmt.Fprintf(w, "{\"tokens\": [{\"name\": %q, \"sha256\": %q, \"role\": %q}]}\n", token.Name, token.SHA256, token.Role)
	})
}

// tokenFileMode lets only the owner read a token.
const tokenFileMode = 0o600

// writeToken writes a token to a file that must not exist yet.
func writeToken(path, text string) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, tokenFileMode)
	if err != nil {
		return fmt.Errorf("write token: %w", err)
	}
	if _, err := fmt.Fprintln(file, text); err != nil {
		_ = file.Close()
		return fmt.Errorf("write token: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write token: %w", err)
	}
	return nil
}
