package control

import (
	"strings"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/replica"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

func members(replicas []config.Replica) *rpc.Members {
	m := &rpc.Members{}
	for _, r := range replicas {
		m.List = append(m.List, &rpc.Member{
			Id:           r.ID,
			Address:      r.Address,
			AdminAddress: r.AdminAddress,
		})
	}
	return m
}

// versionToWire converts a submitted bundle to the version that is proposed to the
// replicas.
func versionToWire(b *bundle.Bundle, s api.SignedBundle) *rpc.BundleVersion {
	v := &rpc.BundleVersion{
		Name:    b.Name,
		Version: b.Version,
		Parent:  b.Parent,
		Digest:  bundle.Digest([]byte(s.Content)),
		Content: []byte(s.Content),
	}
	for _, sig := range s.Signatures {
		v.Signatures = append(v.Signatures, &rpc.Signature{
			Signer: sig.Signer,
			Value:  sig.Value,
		})
	}
	return v
}

func versionToAPI(v *rpc.BundleVersion, full bool) api.BundleVersion {
	out := api.BundleVersion{
		Name:       v.GetName(),
		Version:    v.GetVersion(),
		Parent:     v.GetParent(),
		Digest:     v.GetDigest(),
		Revision:   v.GetRevision(),
		AcceptedMS: v.GetAcceptedUnixMs(),
		Signers:    []string{},
	}
	for _, sig := range v.GetSignatures() {
		out.Signers = append(out.Signers, sig.GetSigner())
		if full {
			out.Signatures = append(out.Signatures, api.Signature{
				Signer: sig.GetSigner(),
				Value:  sig.GetValue(),
			})
		}
	}
	if full {
		out.Content = string(v.GetContent())
	}
	return out
}

func hostToAPI(e *entryHost, ageMS int64) api.HostView {
	return api.HostView{
		Host:     e.info.GetHost(),
		Domain:   e.info.GetDomain(),
		Address:  e.info.GetCallerAddress(),
		Ready:    e.info.GetReady(),
		Leaving:  e.info.GetLeaving(),
		Revision: e.info.GetRevision(),
		AgeMS:    ageMS,
	}
}

const statePrefix = "ENDPOINT_"

func endpointToAPI(e *rpc.Endpoint) api.EndpointView {
	return api.EndpointView{
		Address:     e.GetAddress(),
		Service:     e.GetService(),
		Domain:      e.GetDomain(),
		State:       strings.ToLower(strings.TrimPrefix(e.GetState().String(), statePrefix)),
		Model:       e.GetModel(),
		FirstLayer:  int(e.GetFirstLayer()),
		EndLayer:    int(e.GetEndLayer()),
		Accelerator: e.GetAccelerator(),
	}
}

func replicasToAPI(st replica.Status) api.Replicas {
	out := api.Replicas{
		Term:     st.Term,
		Commit:   st.Commit,
		LogBytes: st.LogBytes,
	}
	for _, m := range st.Members.GetList() {
		out.Items = append(out.Items, replicaToAPI(m, st.Leader.GetId()))
	}
	return out
}

func replicaToAPI(m *rpc.Member, leader uint64) api.ReplicaView {
	return api.ReplicaView{
		ID:           m.GetId(),
		Address:      m.GetAddress(),
		AdminAddress: m.GetAdminAddress(),
		Leader:       m.GetId() == leader,
	}
}
