package fleet

import (
	"strconv"
	"strings"
)

// startSeparator parts an endpoint's own id from when the incarnation started.
const startSeparator = "@"

// IncarnationID names one start of an endpoint: its own id, and where it tells when it
// started (a Unix time in milliseconds; 0: it doesn't), that too. An endpoint may start
// again under its id and then knows nothing of before, so whatever is known by
// incarnation begins anew with it: layers, orders, loads, failures, that it left.
func IncarnationID(id string, startedAt int64) string {
	if _, suffix := SplitIncarnation(id); startedAt == 0 && suffix == 0 {
		return id
	}
	return id + startSeparator + strconv.FormatInt(startedAt, 10)
}

// SplitIncarnation returns an endpoint's own id, and when the incarnation started; 0 if
// it didn't tell.
func SplitIncarnation(incarnation string) (id string, startedAt int64) {
	at := strings.LastIndex(incarnation, startSeparator)
	if at < 0 {
		return incarnation, 0
	}
	startedAt, err := strconv.ParseInt(incarnation[at+len(startSeparator):], 10, 64)
	if err != nil {
		return incarnation, 0
	}
	return incarnation[:at], startedAt
}
