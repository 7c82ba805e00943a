// Package peer holds the connect clients and handler options of the calls between
// nodes: HTTP/2 without TLS, authenticated by the shared peer key.
package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/errkind"
)

// keyHeader carries the peer or operator key.
const keyHeader = "Marblepond-Key"

// maxMessageBytes bounds a message between nodes.
const maxMessageBytes = 16 << 20

// withoutCompression switches compression off: messages between nodes are small, and
// compressing them took a fifth of a node's CPU time per request.
var withoutCompression = connect.WithAcceptCompression("gzip", nil, nil)

// Pool caches one client per peer address.
type Pool struct {
	http    *http.Client
	key     string
	mu      sync.Mutex
	clients map[string]marblepondv1connect.PeerServiceClient
}

// NewPool returns a pool whose clients send the peer key.
func NewPool(client *http.Client, key string) *Pool {
	return &Pool{http: client, key: key, clients: map[string]marblepondv1connect.PeerServiceClient{}}
}

// Client returns the client of the peer at addr.
func (p *Pool) Client(addr string) marblepondv1connect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		c = marblepondv1connect.NewPeerServiceClient(p.http, "http://"+addr, ClientOptions(p.key)...)
		p.clients[addr] = c
	}
	return c
}

// ClientOptions returns the options of a client that sends the key with each call.
func ClientOptions(key string) []connect.ClientOption {
	return []connect.ClientOption{withoutCompression, connect.WithInterceptors(sendKey(key)), connect.WithReadMaxBytes(maxMessageBytes)}
}

// NewOperatorClient returns a client for an operator's calls to a node.
func NewOperatorClient(client *http.Client, addr, key string) marblepondv1connect.OperatorServiceClient {
	return marblepondv1connect.NewOperatorServiceClient(dial.WithCheckedAnswers(client), "http://"+addr,
		connect.WithInterceptors(sendKey(key)), connect.WithReadMaxBytes(maxMessageBytes))
}

func sendKey(key string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set(keyHeader, key)
			return next(ctx, req)
		}
	})
}

// RequireKey returns handler options that reject calls without the key and map errors
// to those of package errkind.
func RequireKey(key string) []connect.HandlerOption {
	check := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if subtle.ConstantTimeCompare([]byte(req.Header().Get(keyHeader)), []byte(key)) != 1 {
				return nil, errkind.ConnectError(errkind.Unauthenticated.New("wrong or missing key"))
			}
			resp, err := next(ctx, req)
			if err != nil {
				return nil, errkind.ConnectError(err)
			}
			return resp, nil
		}
	})
	return []connect.HandlerOption{connect.WithInterceptors(check), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompression("gzip", nil, nil)}
}

// NewHTTPClient returns a client for HTTP/2 without TLS between nodes.
func NewHTTPClient(transport *http.Transport) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport.Protocols = protocols
	return &http.Client{Transport: transport}
}
