package state

import "github.com/larchwinch/larchwinch/pkg/rpc"

// replaceDocument replaces the full configuration if d has a higher version, and
// returns the version that is then committed. Of two documents with the same
// version, the first in the log is kept.
func (m *Machine) replaceDocument(d *rpc.Document) *rpc.DocumentReply {
	if d.GetVersion() > m.document.GetVersion() {
		m.document = d
		m.notify()
	}
	return &rpc.DocumentReply{
		Version: m.document.GetVersion(),
	}
}

// Document returns the committed full configuration, or nil if there is none.
// The caller must not modify it.
func (m *Machine) Document() *rpc.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document
}
