package opcmd

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/opclient"
	"github.com/spf13/cobra"
)

func (o *options) rolloutCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "rollout",
		Short: "Show the progress of the newest bundles' rollout",
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "status",
		Short: "Show, by failure domain, on how many hosts the newest revision is active",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			r := api.Rollout{}
			if err := c.Get(cmd.Context(), api.AdminRolloutPath, &r); err != nil {
				return withExitCode(err)
			}
			return o.show(r, rolloutTable(r))
		},
	})
	return cmd
}

func rolloutTable(r api.Rollout) table {
	t := table{
		header: []string{"FAILURE DOMAIN", "HOSTS", "IN FORCE", "LOWEST REVISION"},
	}
	for _, s := range r.Domains {
		t.rows = append(t.rows, []string{s.Domain, strconv.Itoa(s.Hosts), strconv.Itoa(s.ActiveHosts), strconv.FormatUint(s.LowestRevision, 10)})
	}
	t.rows = append(t.rows, []string{"all", strconv.Itoa(r.Hosts), strconv.Itoa(r.ActiveHosts), "newest is " + strconv.FormatUint(r.Revision, 10)})
	return t
}

// status is what the status command shows.
type status struct {
	Replicas  api.Replicas       `json:"replicas"`
	Rollout   api.Rollout        `json:"rollout"`
	Hosts     []api.HostView     `json:"hosts"`
	Endpoints []api.EndpointView `json:"endpoints"`
}

func (o *options) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show control replicas, entry hosts, endpoints and the rollout",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			s, err := readStatus(cmd, c)
			if err != nil {
				return withExitCode(err)
			}
			if o.output == outputJSON {
				return o.show(s, table{})
			}
			return o.showStatus(s)
		},
	}
}

func readStatus(cmd *cobra.Command, c *opclient.Client) (status, error) {
	s := status{}
	if err := c.Get(cmd.Context(), api.AdminReplicasPath, &s.Replicas); err != nil {
		return s, err
	}
	if err := c.Get(cmd.Context(), api.AdminRolloutPath, &s.Rollout); err != nil {
		return s, err
	}
	for next := "0"; next != ""; {
		page := api.HostPage{}
		if err := c.Get(cmd.Context(), api.AdminHostsPath+"?page="+next, &page); err != nil {
			return s, err
		}
		s.Hosts = append(s.Hosts, page.Items...)
		next = page.Next
	}
	for next := "0"; next != ""; {
		page := api.EndpointPage{}
		if err := c.Get(cmd.Context(), api.AdminEndpointsPath+"?page="+next, &page); err != nil {
			return s, err
		}
		s.Endpoints = append(s.Endpoints, page.Items...)
		next = page.Next
	}
	return s, nil
}

func (o *options) showStatus(s status) error {
	replicas := replicaTable(s.Replicas)
	hosts := table{
		header: []string{"ENTRY HOST", "FAILURE DOMAIN", "ADDRESS", "READY", "LEAVING", "REVISION"},
	}
	for _, h := range s.Hosts {
		hosts.rows = append(hosts.rows, []string{h.Host, h.Domain, h.Address, yesNo(h.Ready), yesNo(h.Leaving), strconv.FormatUint(h.Revision, 10)})
	}
	endpoints := table{
		header: []string{"ENDPOINT", "FAILURE DOMAIN", "STATE", "HOLDS", "ACCELERATOR"},
	}
	for _, e := range s.Endpoints {
		holds := "service " + e.Service
		if e.Service == "" {
			holds = fmt.Sprintf("%s [%d, %d)", e.Model, e.FirstLayer, e.EndLayer)
		}
		endpoints.rows = append(endpoints.rows, []string{e.Address, e.Domain, e.State, holds, e.Accelerator})
	}
	for _, t := range []table{replicas, hosts, endpoints, rolloutTable(s.Rollout)} {
		if err := o.show(nil, t); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(o.out); err != nil {
			return err
		}
	}
	return nil
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (o *options) replicaCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "replica",
		Short: "Replace control replicas",
	}
	v := api.ReplicaView{}
	add := o.replicaChange("add ID", "Add a control replica under an id that was never used", func(cmd *cobra.Command, c *opclient.Client, path string, out *api.Replicas) error {
		return c.Put(cmd.Context(), path, v, out)
	})
	add.Flags().StringVar(&v.Address, "address", "", "the replica's rpc_address (required)")
	add.Flags().StringVar(&v.AdminAddress, "admin-address", "", "the replica's admin_address (required)")
	remove := o.replicaChange("remove ID", "Remove a control replica; its id must not be used again", func(cmd *cobra.Command, c *opclient.Client, path string, out *api.Replicas) error {
		return c.Delete(cmd.Context(), path, out)
	})
	cmd.AddCommand(add, remove)
	return cmd
}

// replicaChange returns a command that changes one replica and then shows all.
func (o *options) replicaChange(use, short string, change func(cmd *cobra.Command, c *opclient.Client, path string, out *api.Replicas) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			out := api.Replicas{}
			if err := change(cmd, c, api.AdminReplicasPath+"/"+args[0], &out); err != nil {
				return withExitCode(err)
			}
			return o.show(out, replicaTable(out))
		},
	}
}

func replicaTable(list api.Replicas) table {
	t := table{
		header: []string{"REPLICA", "ADDRESS", "ADMINISTRATION", "LEADS"},
	}
	for _, r := range list.Items {
		t.rows = append(t.rows, []string{strconv.FormatUint(r.ID, 10), r.Address, r.AdminAddress, yesNo(r.Leader)})
	}
	return t
}

// newKeys is what the key command prints.
type newKeys struct {
	Key        string `json:"key"`
	KeySHA256  string `json:"key_sha256"`
	PublicKey  string `json:"signing_public_key"`
	PrivateKey string `json:"signing_private_key"`
}

func newKey() string {
	b := make([]byte, 24)
	_, _ = rand.Read(b) // crypto/rand.Read never returns an error
	return "lw_" + hex.EncodeToString(b)
}

func (o *options) keyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "key",
		Short: "Make keys",
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "new",
		Short: "Print a new key of an account or operator, and a new signing key",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			public, private, err := bundle.NewKeyPair()
			if err != nil {
				return err
			}
			key := newKey()
			k := newKeys{
				Key:        key,
				KeySHA256:  bundle.KeyDigest(key),
				PublicKey:  public,
				PrivateKey: private,
			}
			return o.show(k, table{
				rows: [][]string{
					{"key (give it to the caller or operator)", k.Key},
					{"key_sha256 (for a bundle or settings)", k.KeySHA256},
					{"signing public key (for settings)", k.PublicKey},
					{"signing private key (keep it in a file)", k.PrivateKey},
				},
			})
		},
	})
	return cmd
}
