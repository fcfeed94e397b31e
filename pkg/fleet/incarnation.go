package fleet

import (
	"strconv"
	"strings"
)

// bornMark parts an endpoint's own id from when the incarnation started.
const bornMark = "@"

// IncarnationID names one start of an endpoint: its own id, and where it tells when it
// started (a Unix time in milliseconds; 0: it doesn't), that too. An endpoint may start
// again under its id and then knows nothing of before, so whatever is known by
// incarnation begins anew with it: layers, orders, loads, failures, that it left.
func IncarnationID(id string, born int64) string {
	if _, marked := SplitIncarnation(id); born == 0 && marked == 0 {
		return id
	}
	return id + bornMark + strconv.FormatInt(born, 10)
}

// SplitIncarnation returns an endpoint's own id, and when the incarnation started; 0 if
// it didn't tell.
func SplitIncarnation(incarnation string) (id string, born int64) {
	at := strings.LastIndex(incarnation, bornMark)
	if at < 0 {
		return incarnation, 0
	}
	born, err := strconv.ParseInt(incarnation[at+len(bornMark):], 10, 64)
	if err != nil {
		return incarnation, 0
	}
	return incarnation[:at], born
}
