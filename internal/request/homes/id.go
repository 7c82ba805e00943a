package homes

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// idPrefix starts every request ID.
const idPrefix = "resp"

// ID is a parsed request ID. It contains the data centres, the creation time and
// the placement, so that any node can find the request's replicas and, later,
// its stored result.
type ID struct {
	DataCentre       string
	SecondDataCentre string // data centre of the second replica; empty: the same
	Created          int64  // Unix seconds
	Placement        string // key of the rendezvous hash; derived from the idempotency key if there is one
}

// NewID returns a new request ID. Requests with the same workspace and
// idempotency key get the same placement.
func NewID(dataCentre, second string, created int64, workspace, key string) string {
	nonce := rand.Text()[:12]
	placed := nonce
	if key != "" {
		placed = workspace + "\x00" + key
	}
	return fmt.Sprintf("%s_%s_%s_%s_%08x_%s", idPrefix, dataCentre, second, strconv.FormatInt(created, 36), uint32(xxhash.Sum64String(placed)), nonce)
}

// ParseID parses a request ID; it returns false if id is not one.
func ParseID(id string) (ID, bool) {
	parts := strings.Split(id, "_")
	if len(parts) != 6 || parts[0] != idPrefix {
		return ID{}, false
	}
	created, err := strconv.ParseInt(parts[3], 36, 64)
	if err != nil {
		return ID{}, false
	}
	return ID{DataCentre: parts[1], SecondDataCentre: parts[2], Created: created, Placement: parts[4]}, true
}
