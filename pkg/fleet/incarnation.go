package fleet

import (
	"strconv"
	"strings"
)

// startSeparator separates an endpoint's own id from its start time.
const startSeparator = "@"

// IncarnationID returns the id of one incarnation of an endpoint: the endpoint's own
// id and, if it reports one, its start time (a Unix time in milliseconds; 0 if
// not). An endpoint that restarts under the same id has lost all state, so
// everything that is kept by incarnation starts afresh with it: layers, orders, loads,
// failures, and that it left. A start time of 0 is appended only to an id that
// itself ends like a start time, so that SplitIncarnation returns that id unchanged.
func IncarnationID(id string, startedAt int64) string {
	if _, suffix := SplitIncarnation(id); startedAt == 0 && suffix == 0 {
		return id
	}
	return id + startSeparator + strconv.FormatInt(startedAt, 10)
}

// SplitIncarnation returns an endpoint's own id and the incarnation's start time; 0
// if that isn't known.
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
