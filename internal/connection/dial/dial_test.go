package dial

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fakeNetwork delays connects by a time for each address; 0: they never succeed.
func fakeNetwork(d *Dialer, delays map[string]time.Duration) {
	d.dial = func(ctx context.Context, _, address string) (net.Conn, error) {
		delay := delays[address]
		if delay == 0 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(delay):
			return nil, nil
		}
	}
}

func TestLimitFollowsTheNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := New(time.Second)
		delays := map[string]time.Duration{"near": 2 * time.Millisecond, "far": 60 * time.Millisecond}
		fakeNetwork(d, delays)
		is.Equal(d.Limit("near"), time.Second) // nothing is measured yet
		_, err := d.DialContext(context.Background(), "tcp", "near")
		is.NoErr(err)
		is.Equal(d.Limit("near"), minLimit)
		_, err = d.DialContext(context.Background(), "tcp", "far")
		is.True(errors.Is(err, context.DeadlineExceeded)) // the limit follows from the other address
		_, err = d.DialContext(context.Background(), "tcp", "far")
		is.NoErr(err) // the limit has doubled
		is.Equal(d.Limit("far"), 480*time.Millisecond)
		is.Equal(d.Limit("near"), minLimit)
		is.Equal(d.Limit("new"), 480*time.Millisecond) // follows from the slowest address
	})
}

// A dial to an unresponsive target times out early, and succeeds again once the target
// responds, even over a network that became slower.
func TestUnresponsiveAddressTimesOutEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := New(250 * time.Millisecond)
		delays := map[string]time.Duration{"a": time.Millisecond}
		fakeNetwork(d, delays)
		_, err := d.DialContext(context.Background(), "tcp", "a")
		is.NoErr(err)
		delays["a"] = 0
		start := time.Now()
		_, err = d.DialContext(context.Background(), "tcp", "a")
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(start), minLimit)
		delays["a"] = 120 * time.Millisecond
		tries := 0
		for err != nil {
			_, err = d.DialContext(context.Background(), "tcp", "a")
			tries++
		}
		is.Equal(tries, 2)
		delays["a"] = 0
		for range 9 {
			_, err = d.DialContext(context.Background(), "tcp", "a")
			is.True(err != nil)
		}
		is.Equal(d.Limit("a"), 250*time.Millisecond) // never above max
	})
}

// A dial cancelled by its caller is not counted as a timeout of the address.
func TestCancelledDialIsNoTimeout(t *testing.T) {
	is := is.New(t)
	d := New(time.Second)
	fakeNetwork(d, map[string]time.Duration{"a": time.Millisecond})
	_, err := d.DialContext(context.Background(), "tcp", "a")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = d.DialContext(ctx, "tcp", "b")
	is.True(err != nil)
	is.True(d.addresses["b"] == nil)
}
