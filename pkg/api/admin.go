package api

import "encoding/json"

// Paths of the administration API.
const (
	AdminBundlesPath   = "/admin/v1/bundles"
	AdminRolloutPath   = "/admin/v1/rollouts"
	AdminHostsPath     = "/admin/v1/hosts"
	AdminEndpointsPath = "/admin/v1/endpoints"
	AdminReplicasPath  = "/admin/v1/replicas"
	AdminPlanPath      = "/admin/v1/plan"
	AdminOpenAPIPath   = "/admin/v1/openapi.json"
)

// Signature is one operator's signature, in base64 in JSON.
type Signature struct {
	Signer string `json:"signer"`
	Value  []byte `json:"value"`
}

// SignedBundle is a bundle's text with its signatures, as an operator submits it.
type SignedBundle struct {
	Content    string      `json:"content"`
	Signatures []Signature `json:"signatures"`
}

// BundleVersion is one accepted version of a bundle.
type BundleVersion struct {
	Name       string      `json:"name"`
	Version    uint64      `json:"version"`
	Parent     string      `json:"parent"`
	Digest     string      `json:"digest"`
	Revision   uint64      `json:"revision"`
	AcceptedMS int64       `json:"accepted_unix_ms"`
	Signers    []string    `json:"signers"`
	Content    string      `json:"content,omitempty"`
	Signatures []Signature `json:"signatures,omitempty"`
}

// BundlePage is one page of bundle versions.
type BundlePage struct {
	Items []BundleVersion `json:"items"`
	// Next is the page parameter of the next page; absent on the last page.
	Next string `json:"next,omitempty"`
}

// Rollout is the progress of the newest revision: how many of the hosts it is
// active on.
type Rollout struct {
	Revision    uint64       `json:"revision"`
	ActiveHosts int          `json:"in_force"`
	Hosts       int          `json:"hosts"`
	Domains     []DomainView `json:"sites"`
}

// DomainView is the progress of the newest revision in one failure domain.
type DomainView struct {
	Domain         string `json:"domain"`
	Hosts          int    `json:"hosts"`
	ActiveHosts    int    `json:"in_force"`
	LowestRevision uint64 `json:"lowest_revision"`
}

// HostView is one entry host as the leader knows it.
type HostView struct {
	Host     string `json:"host"`
	Domain   string `json:"domain"`
	Address  string `json:"address"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	Revision uint64 `json:"revision"`
	AgeMS    int64  `json:"last_heard_ms"`
}

// HostPage is one page of entry hosts.
type HostPage struct {
	Items []HostView `json:"items"`
	Next  string     `json:"next,omitempty"`
}

// EndpointView is one endpoint as the leader knows it.
type EndpointView struct {
	Address     string `json:"address"`
	Service     string `json:"service,omitempty"`
	Domain      string `json:"domain"`
	State       string `json:"state"`
	Model       string `json:"model,omitempty"`
	FirstLayer  int    `json:"first_layer"`
	EndLayer    int    `json:"end_layer"`
	Accelerator string `json:"accelerator,omitempty"`
}

// EndpointPage is one page of endpoints.
type EndpointPage struct {
	Items []EndpointView `json:"items"`
	Next  string         `json:"next,omitempty"`
}

// ReplicaView is one control replica.
type ReplicaView struct {
	ID           uint64 `json:"id"`
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address"`
	Leader       bool   `json:"leader"`
}

// Replicas is the control replicas, and the state of the one that answers.
type Replicas struct {
	Items    []ReplicaView `json:"items"`
	Term     uint64        `json:"term"`
	Commit   uint64        `json:"commit"`
	LogBytes int64         `json:"log_bytes"`
}

// Problems is the details of an error response of kind bundle_invalid.
type Problems struct {
	Problems []json.RawMessage `json:"problems"`
}
