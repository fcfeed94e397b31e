package api

// HostListPath is the path of the platform's host list.
const HostListPath = "/v1/hosts"

// HostList is the platform's list of live and leaving endpoints. It may be out of
// date.
type HostList struct {
	Hosts []ListedHost `json:"hosts"`
}

// ListedHost is one endpoint in the HostList.
type ListedHost struct {
	Address string `json:"address"`
	Service string `json:"service,omitempty"` // empty for a model engine
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving,omitempty"`
}

// ServiceInfoPath is the path by which a plain service is probed.
const ServiceInfoPath = "/service/v1/info"

// ServiceInfo is what a plain service reports of itself.
type ServiceInfo struct {
	Service     string `json:"service"`
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Running     int    `json:"running"`
}

// HeaderRequestID is the header with the id of a request that is forwarded to a
// plain service.
const HeaderRequestID = "Larchwinch-Request-Id"

// HeaderAccount is the header with the client account's name in a request that is
// forwarded to a plain service.
const HeaderAccount = "Larchwinch-Account"
