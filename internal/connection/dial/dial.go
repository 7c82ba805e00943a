// Package dial opens connections with a time limit that follows how long it took
// to connect to the same address before. A target that is gone dark does not
// answer at all; waiting for it as long as for the slowest network uses up the
// time in which a request could be served elsewhere.
package dial

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// factor is how many times the usual connect time is waited: a machine that
	// is busy, or a packet queue, makes it a few times longer.
	factor = 8
	// least is the shortest limit: a timer of a busy process fires some tens of
	// milliseconds late.
	least = 50 * time.Millisecond
	// newest is the weight of the newest connect time.
	newest = 0.25
	// mostAddresses bounds the memory; addresses are learned again.
	mostAddresses = 4096
)

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	max  time.Duration
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	known map[string]*place
}

// place is what is known of an address.
type place struct {
	usual  time.Duration // moving average of connect times, 0: never connected
	failed int           // tries in a row that ran out of time
}

// New returns a dialer that waits for max at the most.
func New(max time.Duration) *Dialer {
	return &Dialer{max: max, dial: KeepAliveDialer(0).DialContext, known: map[string]*place{}}
}

// DialContext opens a connection; it serves as http.Transport.DialContext.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, d.Limit(address))
	defer cancel()
	start := time.Now()
	conn, err := d.dial(limited, network, address)
	switch {
	case err == nil:
		d.connected(address, time.Since(start))
	case limited.Err() != nil && ctx.Err() == nil:
		d.ranOut(address)
	}
	return conn, err
}

// State is what an address does with a connection.
type State int

// The states.
const (
	NoResponse State = iota // no answer: nothing is proved
	Accepts                 // a process listens there
	Refuses                 // no process listens there any more
)

// Probe finds out what an address does with a connection, by opening and closing one.
func Probe(ctx context.Context, address string) State {
	conn, err := KeepAliveDialer(0).DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		conn.Close()
		return Accepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refuses
	}
	return NoResponse
}

// Limit returns how long the next try at an address may take. Each try in a row
// that ran out of time doubles it, so that a network that became slower is not
// taken for one that is gone.
func (d *Dialer) Limit(address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	usual, failed := d.slowest(), 0
	if p := d.known[address]; p != nil {
		failed = p.failed
		if p.usual > 0 {
			usual = p.usual
		}
	}
	if usual == 0 {
		return d.max
	}
	limit := max(least, factor*usual)
	for range failed {
		limit = min(2*limit, d.max)
	}
	return min(limit, d.max)
}

// slowest returns the longest usual connect time of all addresses, for one that
// was never connected to. The caller holds d.mu.
func (d *Dialer) slowest() time.Duration {
	longest := time.Duration(0)
	for _, p := range d.known {
		longest = max(longest, p.usual)
	}
	return longest
}

func (d *Dialer) connected(address string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.at(address)
	p.failed = 0
	if p.usual == 0 {
		p.usual = max(took, 1)
		return
	}
	p.usual += time.Duration(newest * float64(took-p.usual))
}

func (d *Dialer) ranOut(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at(address).failed++
}

// at returns the entry of an address. The caller holds d.mu.
func (d *Dialer) at(address string) *place {
	if len(d.known) >= mostAddresses && d.known[address] == nil {
		clear(d.known)
	}
	p := d.known[address]
	if p == nil {
		p = &place{}
		d.known[address] = p
	}
	return p
}
