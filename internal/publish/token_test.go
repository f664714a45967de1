package publish_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

func withTokens(tokens string) *publish.Source {
	return &publish.Source{Name: "heaters", Templates: map[string]string{"access.tmpl": fmt.Sprintf(`{"tokens": [%s]}`, tokens)}}
}

func TestTokensAreRendered(t *testing.T) {
	hash := publish.HashToken("secret")
	workspace, problems := publish.Render(withTokens(`{"name": "ci", "sha256": "` + hash + `", "role": "publisher"}`))
	assert.Equal(t, len(problems), 0)
	assert.DeepEqual(t, workspace.Tokens, []publish.Token{{Name: "ci", SHA256: hash, Role: publish.Publisher}})
}

func TestBadTokensAreRefused(t *testing.T) {
	hash := publish.HashToken("secret")
	good := `{"name": "ci", "sha256": "` + hash + `", "role": "reader"}`
	for tokens, reason := range map[string]string{
		good + "," + good: "token ci: is defined twice",
		`{"name": "ci", "sha256": "secret", "role": "reader"}`:           "token ci: sha256 is not 64 lower-case hexadecimal digits",
		`{"name": "ci", "sha256": "` + hash + `", "role": "root"}`:       `token ci: role "root" is not reader, publisher or administrator`,
		`{"name": "C I", "sha256": "` + hash + `", "role": "publisher"}`: `token C I: name "C I" does not match`,
	} {
		_, problems := publish.Render(withTokens(tokens))
		assert.Equal(t, len(problems), 1, "%v", problems)
		assert.ErrorContains(t, fmt.Errorf("%s", problems[0]), reason)
	}
}

func TestRolesIncludeLowerOnes(t *testing.T) {
	assert.Assert(t, publish.Administrator.Includes(publish.Reader))
	assert.Assert(t, publish.Publisher.Includes(publish.Publisher))
	assert.Assert(t, !publish.Reader.Includes(publish.Publisher))
	assert.Assert(t, !publish.Role("root").Includes("root"))
}
