package loopback

import (
	"testing"

	"github.com/matryer/is"
)

// TestNetworksAreReservedOnce guards against two fleets with the same addresses: one of them could
// not listen, or its nodes used targets of the other.
func TestNetworksAreReservedOnce(t *testing.T) {
	is := is.New(t)
	first, release, err := Reserve(0)
	is.NoErr(err)
	second, releaseSecond, err := Reserve(0)
	is.NoErr(err)
	defer releaseSecond()
	is.True(first != second)
	_, _, err = Reserve(first)
	is.True(err != nil) // also if it is asked for by number
	release()
	again, release, err := Reserve(first)
	is.NoErr(err)
	is.Equal(again, first)
	release()
}
