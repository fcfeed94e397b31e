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

// readIdentity returns the replica's id from the data folder, or 0 if it holds none. The
// id is kept on the same disk as the log, so that a replica that lost its disk can't
// vote or acknowledge under the id of the lost log.
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
		return 0, nil // truncated by a crash before it was ever used
	}
	return id, nil
}

// writeIdentity saves the id durably.
func writeIdentity(folder string, id uint64) error {
	return writeFile(folder, identityFile, []byte(strconv.FormatUint(id, 16)+"\n"))
}

// initialMemberID returns the id of an initial member. It is derived from the address,
// so that every initial member can compute those of the others.
func initialMemberID(ip string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("founder " + ip)) // never fails
	return h.Sum64() | 1
}

// newID returns a random id for a replica that joins.
func newID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "generate replica id")
	}
	return binary.LittleEndian.Uint64(b[:]) | 1, nil
}

// initialMembers returns the members of a new cluster, one for each IP address.
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
