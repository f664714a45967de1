package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Client calls the administration API of one daemon.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the API at an address, which is "IP:port" or a URL.
// The token may be empty.
func NewClient(address, token string, client *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: strings.TrimSuffix(address, "/"), token: token, http: client}
}

// Publish submits a publication. A conflict or a refusal is returned as a verdict,
// not as an error.
func (c *Client) Publish(ctx context.Context, publication *Publication) (*Verdict, error) {
	var verdict Verdict
	err := c.do(ctx, http.MethodPost, "/v1/publications", publication, &verdict)
	return &verdict, err
}

// Validate returns the verdict that a publication would get now, without publishing
// it.
func (c *Client) Validate(ctx context.Context, publication *Publication) (*Verdict, error) {
	var verdict Verdict
	err := c.do(ctx, http.MethodPost, "/v1/validate", publication, &verdict)
	return &verdict, err
}

// Rollback publishes the content of an old version as a new version.
func (c *Client) Rollback(ctx context.Context, workspace string, body *Rollback) (*Verdict, error) {
	var verdict Verdict
	err := c.do(ctx, http.MethodPost, workspacePath(workspace, "rollback"), body, &verdict)
	return &verdict, err
}

// History returns the retained verdicts of a workspace.
func (c *Client) History(ctx context.Context, workspace string) (*History, error) {
	var history History
	err := c.do(ctx, http.MethodGet, workspacePath(workspace, "history"), nil, &history)
	return &history, err
}

// Source returns the source of a workspace at a version, 0 for the current one.
func (c *Client) Source(ctx context.Context, workspace string, version uint64) (*Source, error) {
	var source Source
	query := url.Values{}
	setVersion(query, "version", version)
	err := c.do(ctx, http.MethodGet, workspacePath(workspace, "source")+"?"+query.Encode(), nil, &source)
	return &source, err
}

// Diff compares two versions of a workspace. If to is 0, it is the current version.
func (c *Client) Diff(ctx context.Context, workspace string, from, to uint64) (*Diff, error) {
	var diff Diff
	query := url.Values{}
	setVersion(query, "from", from)
	setVersion(query, "to", to)
	err := c.do(ctx, http.MethodGet, workspacePath(workspace, "diff")+"?"+query.Encode(), nil, &diff)
	return &diff, err
}

// Status returns the configuration status as seen by the daemon.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var status Status
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &status)
	return &status, err
}

// Members returns the members of the mesh as seen by the daemon.
func (c *Client) Members(ctx context.Context) (*Members, error) {
	var members Members
	err := c.do(ctx, http.MethodGet, "/v1/members", nil, &members)
	return &members, err
}

// Rollouts returns the rollouts that the daemon knows.
func (c *Client) Rollouts(ctx context.Context) (*Rollouts, error) {
	var rollouts Rollouts
	err := c.do(ctx, http.MethodGet, "/v1/rollouts", nil, &rollouts)
	return &rollouts, err
}

// Drain takes the target of the daemon's host out of service, or puts it back.
func (c *Client) Drain(ctx context.Context, drain bool) (*DrainState, error) {
	method := http.MethodPost
	if !drain {
		method = http.MethodDelete
	}
	var state DrainState
	err := c.do(ctx, method, "/v1/drain", nil, &state)
	return &state, err
}

// Timeline returns the events recorded by the daemon's process.
func (c *Client) Timeline(ctx context.Context) ([]timeline.Event, error) {
	response, err := c.send(ctx, http.MethodGet, "/v1/timeline", nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, c.responseError(response)
	}
	events, err := timeline.ReadJSON(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read events from %s: %w", c.base, err)
	}
	return events, nil
}

func workspacePath(workspace, rest string) string {
	return "/v1/workspaces/" + url.PathEscape(workspace) + "/" + rest
}

func setVersion(query url.Values, name string, version uint64) {
	if version != 0 {
		query.Set(name, strconv.FormatUint(version, 10))
	}
}

// do sends a request and decodes the JSON response whatever its status, because the
// verdicts of conflicts and refusals are not sent with 200. A response of another
// media type is an error.
func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if mediaType(response) != "application/json" {
		return c.responseError(response)
	}
	limited := http.MaxBytesReader(nil, response.Body, maxResponseBytes)
	if err := json.NewDecoder(limited).Decode(into); err != nil {
		return fmt.Errorf("decode response from %s: %w", c.base, err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", c.base, err)
	}
	return response, nil
}

const (
	// maxResponseBytes limits how much of a response is read.
	maxResponseBytes = 64 << 20
	// maxProblemBytes limits how much of an error response is read.
	maxProblemBytes = 64 << 10
)

// responseError converts a response without the expected content to an error.
func (c *Client) responseError(response *http.Response) error {
	var problem Problem
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err == nil && mediaType(response) == ProblemContentType {
		err = json.Unmarshal(data, &problem)
	}
	if err != nil || problem.Status == 0 {
		problem = Problem{Title: "unexpected response", Status: response.StatusCode}
	}
	problem.Peer = c.base
	return fmt.Errorf("%s: %w", c.base, &problem)
}

func mediaType(response *http.Response) string {
	parsed, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return parsed
}
