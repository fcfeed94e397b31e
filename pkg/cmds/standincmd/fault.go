package standincmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/standin/engine"
	"github.com/spf13/cobra"
)

const callTimeout = 5 * time.Second

func faultCommand() *cobra.Command {
	f := engine.Fault{}
	var freeze time.Duration
	cmd := &cobra.Command{
		Use:   "fault ADDRESS",
		Short: "Inject faults into an engine; without flags, end every fault",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f.FreezeMS = int(freeze.Milliseconds())
			return postJSON(cmd.Context(), "http://"+args[0]+engine.FaultPath, f)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&f.DieAfter, "die-after", 0, "end the process after this number of passes")
	flags.DurationVar(&freeze, "freeze", 0, "stop all passes for this time")
	flags.Float64Var(&f.Slow, "slow", 0, "multiply the time of each pass")
	flags.BoolVar(&f.Duplicate, "duplicate", false, "emit every event twice")
	flags.BoolVar(&f.Reorder, "reorder", false, "swap pairs of events")
	flags.BoolVar(&f.Corrupt, "corrupt", false, "emit events with wrong numbers")
	flags.BoolVar(&f.Cut, "cut", false, "close every connection")
	flags.BoolVar(&f.CutOut, "cut-out", false, "fail every call to the next stage")
	flags.BoolVar(&f.Forget, "forget", false, "drop every session, as a restart does")
	return cmd
}

func sessionsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "sessions ADDRESS",
		Short: "Print how many requests an engine has open",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			info := api.EngineInfo{}
			if err := getJSON(cmd.Context(), "http://"+args[0]+api.EngineInfoPath, &info); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), info.Load.Sessions)
			return err
		},
	}
}

func postJSON(ctx context.Context, url string, in any) error {
	text, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	resp, err := call(ctx, http.MethodPost, url, text)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func getJSON(ctx context.Context, url string, out any) error {
	resp, err := call(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

// call sends a request and returns its response, which has status 200 and whose
// body the caller must close.
func call(ctx context.Context, method, url string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	client := &http.Client{
		Timeout: callTimeout,
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return resp, nil
}
