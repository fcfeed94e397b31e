package api

// HostListPath is where the platform's list of hosts is served.
const HostListPath = "/v1/hosts"

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList struct {
	Hosts []ListedHost `json:"hosts"`
}

// ListedHost is one endpoint in the platform's list.
type ListedHost struct {
	Address string `json:"address"`
	Service string `json:"service,omitempty"` // empty for a model engine
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving,omitempty"`
}

// ServiceInfoPath is where a plain service says that it is there.
const ServiceInfoPath = "/service/v1/info"

// ServiceInfo is what a plain service says of itself.
type ServiceInfo struct {
	Service     string `json:"service"`
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Running     int    `json:"running"`
}

// HeaderRequestID names the request that larchwinch passes to a plain service.
const HeaderRequestID = "Larchwinch-Request-Id"

// HeaderAccount names the client account to a plain service.
const HeaderAccount = "Larchwinch-Account"
