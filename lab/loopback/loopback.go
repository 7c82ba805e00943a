// Package loopback reserves networks of loopback addresses, so that fleets of several processes
// on one machine do not use each other's addresses.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
)

const (
	// firstNet and netCount are the range of x in the networks 127.x that Reserve chooses from.
	firstNet, netCount = 64, 128
	// lockPort is the port of an address of a network that is listened on while it is reserved.
	lockPort = 1099
)

var errAllTaken = errors.New("every network of the loopback range is taken")

// Reserve reserves the network 127.x.0.0/16 and returns x. If x is 0, it chooses one that is free.
// The network stays reserved until release is called or this process ends.
func Reserve(x int) (reserved int, release func(), err error) {
	if x != 0 {
		release, err = lock(x)
		return x, release, err
	}
	for i := range netCount {
		x = firstNet + (os.Getpid()+i)%netCount
		if release, err = lock(x); err == nil {
			return x, release, nil
		}
	}
	return 0, nil, fmt.Errorf("%w: %w", errAllTaken, err)
}

func lock(x int) (release func(), err error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", x, lockPort))
	if err != nil {
		return nil, fmt.Errorf("reserve the network 127.%d: %w", x, err)
	}
	go closeConnections(l)
	return func() { l.Close() }, nil
}

// closeConnections closes all connections to a listener until the listener is closed.
func closeConnections(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		conn.Close()
	}
}
