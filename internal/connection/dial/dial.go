// Package dial opens connections with a timeout derived from the connect times
// measured for the same address. An unresponsive target does not refuse
// connections; waiting for it as long as for the slowest network would use up
// the time in which the request could be served elsewhere.
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
	// connectTimeFactor is the ratio of the timeout to the mean connect time: a busy
	// host or a packet queue makes a connect a few times longer.
	connectTimeFactor = 8
	// minLimit is the shortest timeout: a timer of a busy process fires some tens of
	// milliseconds late.
	minLimit = 50 * time.Millisecond
	// newestWeight is the weight of the newest connect time in the moving average.
	newestWeight = 0.25
	// maxAddresses bounds the memory; at this count all entries are dropped and
	// measured anew.
	maxAddresses = 4096
)

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	max  time.Duration
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu        sync.Mutex
	addresses map[string]*addressState
}

// addressState holds the measurements of one address.
type addressState struct {
	connectTime time.Duration // moving average; 0: never connected
	timeouts    int           // consecutive attempts that timed out
}

// New returns a dialer whose timeouts are max at most.
func New(max time.Duration) *Dialer {
	return &Dialer{max: max, dial: KeepAliveDialer(0).DialContext, addresses: map[string]*addressState{}}
}

// DialContext opens a connection; it serves as http.Transport.DialContext.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, d.Limit(address))
	defer cancel()
	start := time.Now()
	conn, err := d.dial(limited, network, address)
	switch {
	case err == nil:
		d.recordConnect(address, time.Since(start))
	case limited.Err() != nil && ctx.Err() == nil:
		d.recordTimeout(address)
	}
	return conn, err
}

// State is how an address responds to a connection attempt.
type State int

const (
	NoResponse State = iota // a process may or may not listen there
	Accepts                 // a process listens there
	Refuses                 // no process listens there
)

// Probe opens and closes a connection to find out how the address responds.
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

// Limit returns the timeout of the next attempt to connect to an address. Each
// consecutive timeout doubles it, so that a network that became slower is not
// taken for an unreachable one.
func (d *Dialer) Limit(address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	connectTime, timeouts := d.longestConnectTime(), 0
	if p := d.addresses[address]; p != nil {
		timeouts = p.timeouts
		if p.connectTime > 0 {
			connectTime = p.connectTime
		}
	}
	if connectTime == 0 {
		return d.max
	}
	limit := max(minLimit, connectTimeFactor*connectTime)
	for range timeouts {
		limit = min(2*limit, d.max)
	}
	return min(limit, d.max)
}

// longestConnectTime returns the longest mean connect time of all addresses, which
// stands in for that of an address never connected to. The caller holds d.mu.
func (d *Dialer) longestConnectTime() time.Duration {
	longest := time.Duration(0)
	for _, p := range d.addresses {
		longest = max(longest, p.connectTime)
	}
	return longest
}

func (d *Dialer) recordConnect(address string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.entry(address)
	p.timeouts = 0
	if p.connectTime == 0 {
		p.connectTime = max(took, 1)
		return
	}
	p.connectTime += time.Duration(newestWeight * float64(took-p.connectTime))
}

func (d *Dialer) recordTimeout(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entry(address).timeouts++
}

// entry returns the state of an address and creates it if missing. The caller
// holds d.mu.
func (d *Dialer) entry(address string) *addressState {
	if len(d.addresses) >= maxAddresses && d.addresses[address] == nil {
		clear(d.addresses)
	}
	p := d.addresses[address]
	if p == nil {
		p = &addressState{}
		d.addresses[address] = p
	}
	return p
}
