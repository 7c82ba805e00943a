package procs

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Links holds the relayed connections and which of them are cut, by the prefixes of their
// source and destination addresses.
type Links struct {
	mu    sync.Mutex
	cuts  map[prefixPair]bool
	conns map[*relayedConn]bool
	Delay time.Duration // one-way delay between data centres
}

type prefixPair struct{ from, to string } // address prefixes

// relayedConn is a connection through a relay.
type relayedConn struct {
	from, to          string
	inbound, outbound net.Conn
}

// NewLinks returns links without cuts.
func NewLinks() *Links { return &Links{cuts: map[prefixPair]bool{}, conns: map[*relayedConn]bool{}} }

// Cut closes the connections between two address prefixes, in both directions, and prevents
// new ones.
func (l *Links) Cut(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[prefixPair{a, b}], l.cuts[prefixPair{b, a}] = true, true
	for c := range l.conns {
		if l.isCut(c.from, c.to) {
			c.inbound.Close()
			c.outbound.Close()
		}
	}
}

// Heal allows connections between two address prefixes again.
func (l *Links) Heal(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cuts, prefixPair{a, b})
	delete(l.cuts, prefixPair{b, a})
}

func (l *Links) isCut(from, to string) bool {
	for c := range l.cuts {
		if strings.HasPrefix(from, c.from) && strings.HasPrefix(to, c.to) {
			return true
		}
	}
	return false
}

// Relay forwards connections from listen to target unless they are cut.
func (l *Links) Relay(listen, target string) (io.Closer, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn, target)
		}
	}()
	return listener, nil
}

func (l *Links) forward(conn net.Conn, target string) {
	defer conn.Close()
	c := &relayedConn{from: conn.RemoteAddr().String(), to: target, inbound: conn}
	l.mu.Lock()
	cut := l.isCut(c.from, c.to)
	l.mu.Unlock()
	if cut {
		time.Sleep(cutConnDelay) // looks like lost packets
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	c.outbound = out
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	copyTo := func(to, from net.Conn) {
		io.Copy(to, from)
		to.(*net.TCPConn).CloseWrite()
		done <- struct{}{}
	}
	go copyTo(out, conn)
	go copyTo(conn, out)
	<-done
	<-done
}

// cutConnDelay is how long a new connection that is cut hangs before it is closed.
const cutConnDelay = time.Second
