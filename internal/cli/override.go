package cli

import (
	"fmt"
	"strings"

	"github.com/mulberrybank/mulberrybank/internal/settings"
)

// parseOverrides parses overrides of settings of the form "field=value".
func parseOverrides(texts []string) ([]settings.Override, error) {
	var overrides []settings.Override
	for _, text := range texts {
		field, value, found := strings.Cut(text, "=")
		if !found {
			return nil, &usageError{fmt.Sprintf("--set %s: expected FIELD=VALUE", text)}
		}
		overrides = append(overrides, settings.Override{Field: field, Value: value})
	}
	return overrides, nil
}
