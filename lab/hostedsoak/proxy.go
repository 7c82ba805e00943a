package hostedsoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to the connections through it.
type Mode struct {
	Delay          time.Duration // added to each chunk, in both directions
	Reset          bool          // open and new connections are reset
	Blocked        bool          // no data passes, and connections stay open
	AnswersBlocked bool          // data passes only to the server, not back
}

// Proxy is a TCP proxy on a loopback address.
type Proxy struct {
	address string

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	target   string
	mode     Mode
	conns    map[net.Conn]bool
	closed   bool
}

// NewProxy starts a proxy that forwards connections to a target address.
func NewProxy(listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: listener.Addr().String(), listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept(listener)
	return p, nil
}

// Refuse ends all connections and refuses new ones, as the address of a process that has ended.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	p.resetAll()
}

// Accept accepts connections again.
func (p *Proxy) Accept() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.address }

// SetMode changes the mode, also for open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m.Reset {
		p.resetAll()
	}
}

// Retarget changes the target of new connections and resets the open ones.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	p.resetAll()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.listener != nil {
		p.listener.Close()
	}
	p.resetAll()
}

func (p *Proxy) resetAll() {
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	conn.Close()
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *Proxy) forward(conn net.Conn) {
	defer conn.Close()
	p.mu.Lock()
	target, refuse := p.target, p.mode.Reset || p.closed
	p.mu.Unlock()
	if refuse {
		reset(conn)
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		reset(conn)
		return
	}
	defer out.Close()
	p.track(conn, out, true)
	defer p.track(conn, out, false)
	done := make(chan struct{}, 2)
	go p.copyDirection(out, conn, false, done)
	go p.copyDirection(conn, out, true, done)
	<-done
	<-done
}

func (p *Proxy) track(a, b net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range []net.Conn{a, b} {
		if open {
			p.conns[conn] = true
		} else {
			delete(p.conns, conn)
		}
	}
}

const (
	copyBufferBytes = 32 << 10
	// modePollInterval is how often a blocked connection checks the mode.
	modePollInterval = 10 * time.Millisecond
)

// copyDirection copies one direction; answers means that from the server to the client.
func (p *Proxy) copyDirection(to, from net.Conn, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.delay(answers)
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.delay(answers)
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite() // fails if the other side has closed too
			} else {
				reset(to)
			}
			return
		}
	}
}

// delay waits while the mode blocks the direction, and then for the mode's delay.
func (p *Proxy) delay(answers bool) {
	for {
		p.mu.Lock()
		m, closed := p.mode, p.closed
		p.mu.Unlock()
		if closed || !(m.Blocked || (m.AnswersBlocked && answers)) {
			time.Sleep(m.Delay)
			return
		}
		time.Sleep(modePollInterval)
	}
}
