// Package opclient is a client of the administration API, which follows the
// control hosts' redirects to their leader.
package opclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/netutil"
)

const (
	callTimeout  = 8 * time.Second
	maxRedirects = 5
)

// Client calls the administration API.
type Client struct {
	addresses []string
	key       string
	http      *http.Client
}

// New returns a client that tries the addresses one after the other and
// authenticates with an operator's key.
func New(addresses []string, key string) *Client {
	return &Client{
		addresses: addresses,
		key:       key,
		http: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Get fetches path and decodes the response into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.do(ctx, http.MethodGet, path, nil, out)
}

// Post posts in to path and decodes the response into out.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	return c.do(ctx, http.MethodPost, path, in, out)
}

// Put puts in at path and decodes the response into out.
func (c *Client) Put(ctx context.Context, path string, in, out any) error {
	return c.do(ctx, http.MethodPut, path, in, out)
}

// Delete deletes path and decodes the response into out.
func (c *Client) Delete(ctx context.Context, path string, out any) error {
	return c.do(ctx, http.MethodDelete, path, nil, out)
}

// do tries each address until one answers. All requests of the API are safe to
// repeat, so the next address is tried after one that gave no answer.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return netutil.TryAddresses(ctx, c.addresses, func(ctx context.Context, address string) (bool, error) {
		err := c.follow(ctx, method, "http://"+address+path, in, out)
		return err == nil || failure.From(err).Kind() != failure.ControlUnavailable, err
	})
}

// follow sends the request and follows redirects to the leader, sending the
// operator's key to each address.
func (c *Client) follow(ctx context.Context, method, target string, in, out any) error {
	for range maxRedirects {
		resp, err := c.send(ctx, method, target, in)
		if err != nil {
			return failure.Wrap(err, failure.ControlUnavailable, "no answer from %s", target)
		}
		if resp.StatusCode == http.StatusTemporaryRedirect {
			_ = resp.Body.Close()
			u, err := url.Parse(resp.Header.Get("Location"))
			if err != nil {
				return errors.Wrap(err, "redirect")
			}
			target = u.String()
			continue
		}
		return read(resp, out)
	}
	return failure.New(failure.ControlUnavailable, "the control hosts don't agree on who leads")
}

func (c *Client) send(ctx context.Context, method, target string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encode")
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	return c.http.Do(req)
}

func read(resp *http.Response, out any) error {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			return errors.Wrap(err, "decode response")
		}
		return nil
	}
	return ReadFailure(resp)
}

// ReadFailure returns the failure that an error response contains.
func ReadFailure(resp *http.Response) error {
	body := api.Error{}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return errors.Errorf("the response has status %d and its body is not a valid error", resp.StatusCode)
	}
	kind, _ := failure.KindNamed(body.Error.Kind)
	f := failure.New(kind, "%s", body.Error.Message).WithRan(failure.Ran(body.Error.Ran))
	return f.WithRetryAfter(time.Duration(body.Error.RetryAfterMS) * time.Millisecond)
}
