package control

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/check"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

func (p *presence) hosts(now time.Time) []api.HostView {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]api.HostView, 0, len(p.entries))
	for _, e := range p.entries {
		list = append(list, hostToAPI(e, now.Sub(e.lastHeartbeat).Milliseconds()))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

func (p *presence) endpoints() []*rpc.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Since(0)
}

func (s *Server) listHosts(r *http.Request, _ config.Operator) (any, error) {
	all := s.presence.hosts(s.svc.Now())
	from, to, next, err := pageOf(r, len(all))
	if err != nil {
		return nil, err
	}
	return api.HostPage{
		Items: all[from:to],
		Next:  next,
	}, nil
}

func (s *Server) listEndpoints(r *http.Request, _ config.Operator) (any, error) {
	all := s.presence.endpoints()
	from, to, next, err := pageOf(r, len(all))
	if err != nil {
		return nil, err
	}
	page := api.EndpointPage{
		Items: []api.EndpointView{},
		Next:  next,
	}
	for _, e := range all[from:to] {
		page.Items = append(page.Items, endpointToAPI(e))
	}
	return page, nil
}

// rollout reports at how many entry hosts the newest revision is active, in total
// and for each failure domain.
func (s *Server) rollout(_ *http.Request, _ config.Operator) (any, error) {
	return rolloutOf(s.stateMachine.Revision(), s.presence.hosts(s.svc.Now())), nil
}

// rolloutOf counts the hosts that are present. A host that is gone activates no revision.
func rolloutOf(revision uint64, hosts []api.HostView) api.Rollout {
	out := api.Rollout{
		Revision: revision,
		Domains:  []api.DomainView{},
	}
	for _, h := range hosts {
		if h.AgeMS > hostGoneAfter.Milliseconds() {
			continue
		}
		out.Hosts++
		domain := domainOf(&out, h)
		domain.Hosts++
		domain.LowestRevision = min(domain.LowestRevision, h.Revision)
		if h.Revision == out.Revision {
			out.ActiveHosts++
			domain.ActiveHosts++
		}
	}
	sort.Slice(out.Domains, func(i, j int) bool { return out.Domains[i].Domain < out.Domains[j].Domain })
	return out
}

func domainOf(out *api.Rollout, h api.HostView) *api.DomainView {
	for i := range out.Domains {
		if out.Domains[i].Domain == h.Domain {
			return &out.Domains[i]
		}
	}
	out.Domains = append(out.Domains, api.DomainView{
		Domain:         h.Domain,
		LowestRevision: h.Revision,
	})
	return &out.Domains[len(out.Domains)-1]
}

func (s *Server) listReplicas(_ *http.Request, _ config.Operator) (any, error) {
	return replicasToAPI(s.node.Status()), nil
}

// addReplica adds a replica to the members. If the id is already a member, it only
// returns the present members.
func (s *Server) addReplica(r *http.Request, _ config.Operator) (any, error) {
	id, err := replicaID(r)
	if err != nil {
		return nil, err
	}
	v := api.ReplicaView{}
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		return nil, bodyError(err)
	}
	problems := check.New("replica")
	problems.Address("address", v.Address)
	problems.Address("admin_address", v.AdminAddress)
	if err := problems.Err(); err != nil {
		return nil, failure.New(failure.BadRequest, "%v", err)
	}
	next := &rpc.Members{}
	for _, m := range s.node.Status().Members.GetList() {
		if m.GetId() == id {
			return replicasToAPI(s.node.Status()), nil
		}
		next.List = append(next.List, m)
	}
	next.List = append(next.List, &rpc.Member{
		Id:           id,
		Address:      v.Address,
		AdminAddress: v.AdminAddress,
	})
	return s.changeMembers(r, next)
}

func (s *Server) removeReplica(r *http.Request, _ config.Operator) (any, error) {
	id, err := replicaID(r)
	if err != nil {
		return nil, err
	}
	next := &rpc.Members{}
	for _, m := range s.node.Status().Members.GetList() {
		if m.GetId() != id {
			next.List = append(next.List, m)
		}
	}
	if len(next.List) == 0 {
		return nil, failure.New(failure.BadRequest, "the last replica can't be removed")
	}
	if len(next.List) == len(s.node.Status().Members.GetList()) {
		return replicasToAPI(s.node.Status()), nil
	}
	return s.changeMembers(r, next)
}

func (s *Server) changeMembers(r *http.Request, next *rpc.Members) (any, error) {
	if err := s.node.ChangeMembers(r.Context(), next); err != nil {
		return nil, err
	}
	return replicasToAPI(s.node.Status()), nil
}

func replicaID(r *http.Request) (uint64, error) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil || id == 0 {
		return 0, failure.New(failure.BadRequest, "%q is no replica's id; allowed: a whole number above 0 that was never used before", r.PathValue("id"))
	}
	return id, nil
}
