package state

import "github.com/larchwinch/larchwinch/pkg/rpc"

// replaceDocument puts a whole configuration in force if its version is above
// the one that stands, and tells which one stands then. Of two with the same
// version the first in the log stands.
func (m *Machine) replaceDocument(d *rpc.Document) *rpc.DocumentReply {
	if d.GetVersion() > m.document.GetVersion() {
		m.document = d
		m.notify()
	}
	return &rpc.DocumentReply{
		Version: m.document.GetVersion(),
	}
}

// Document returns the whole configuration that stands; nil if there is none.
// The caller must not change it.
func (m *Machine) Document() *rpc.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document
}
