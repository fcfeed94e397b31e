package chain

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/netutil"
)

// statusError is returned if an engine answered with a status other than 200.
type statusError struct {
	status int
}

// Error implements error.
func (e *statusError) Error() string {
	return "the engine answered " + http.StatusText(e.status)
}

// call posts in to an engine and decodes the answer into out, unless out is nil.
func (r *Runner) call(ctx context.Context, timeout time.Duration, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := r.post(ctx, address, path, in)
	if err != nil {
		return err
	}
	defer drainAndClose(resp)
	if out == nil {
		return nil
	}
	if err := netutil.NewDecoder(resp.Body).Decode(out); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// get gets path from an engine and decodes the answer into out.
func (r *Runner) get(ctx context.Context, timeout time.Duration, address, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	resp, err := r.cfg.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call engine")
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return &statusError{
			status: resp.StatusCode,
		}
	}
	if err := netutil.NewDecoder(resp.Body).Decode(out); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// post posts in to an engine and returns the response if its status is 200; the
// caller must close its body.
func (r *Runner) post(ctx context.Context, address, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	resp, err := r.cfg.Client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call engine")
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close() // it may come slowly, or without end
		return nil, &statusError{
			status: resp.StatusCode,
		}
	}
	return resp, nil
}

// drainAndClose reads what is left of a short body, so that the connection is
// reused, and closes it.
func drainAndClose(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4096)
	_ = resp.Body.Close()
}

// reasonFull is the reason of an engine that has no free slot.
const reasonFull = "full"

// faultReason returns the reason of a failed call, as engines name it.
func faultReason(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return api.FaultUnreachable
	}
	var status *statusError
	if errors.As(err, &status) {
		if status.status == http.StatusServiceUnavailable {
			return reasonFull
		}
		return "refused"
	}
	return api.FaultLost
}
