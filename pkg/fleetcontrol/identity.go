package fleetcontrol

import (
	"crypto/rand"
	"encoding/binary"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

const (
	identityFile = "identity"
	logFolder    = "log"
)

// readIdentity returns the replica's id as the data folder holds it, or 0. The
// id lives and dies with the disk, so that a replica that lost its disk can't
// vote or acknowledge under the name of what it forgot.
func readIdentity(folder string) (uint64, error) {
	data, err := os.ReadFile(filepath.Join(folder, identityFile))
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "read identity")
	}
	id, err := strconv.ParseUint(strings.TrimSpace(string(data)), 16, 64)
	if err != nil {
		return 0, nil // torn by a crash before it was ever used
	}
	return id, nil
}

// writeIdentity makes id durable.
func writeIdentity(folder string, id uint64) error {
	return writeFile(folder, identityFile, []byte(strconv.FormatUint(id, 16)+"\n"))
}

// initialMemberID is the id of a replica that founds the cluster: every founder can
// work out those of the others.
func initialMemberID(ip string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("founder " + ip)) // a hash can't fail
	return h.Sum64() | 1
}

// newID draws an id for a replica that joins.
func newID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "draw an id")
	}
	return binary.LittleEndian.Uint64(b[:]) | 1, nil
}

// initialMembers returns the members of a new cluster, one for each IP number.
func initialMembers(ips []string, port string) *rpc.Members {
	m := &rpc.Members{}
	for _, ip := range ips {
		m.List = append(m.List, &rpc.Member{
			Id:      initialMemberID(ip),
			Address: net.JoinHostPort(ip, port),
		})
	}
	return m
}
