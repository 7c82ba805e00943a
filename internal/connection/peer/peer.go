// Package peer connects nodes: a pool of connect clients over HTTP/2 without
// TLS, authenticated by the shared peer key.
package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/errkind"
)

// keyHeader carries the peer or operator key.
const keyHeader = "Marblepond-Key"

// maxMessage bounds a message between nodes, in bytes.
const maxMessage = 16 << 20

// withoutCompression: messages between nodes are small; compressing them took
// a fifth of a node's processor time per request.
var withoutCompression = connect.WithAcceptCompression("gzip", nil, nil)

// Pool hands out one client per peer address.
type Pool struct {
	http    *http.Client
	key     string
	mu      sync.Mutex
	clients map[string]marblepondv1connect.PeerServiceClient
}

// NewPool returns a pool that presents the peer key.
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

// ClientOptions returns the options of a client that presents the key.
func ClientOptions(key string) []connect.ClientOption {
	return []connect.ClientOption{withoutCompression, connect.WithInterceptors(present(key)), connect.WithReadMaxBytes(maxMessage)}
}

// NewOperatorClient returns a client for an operator's calls to a node.
func NewOperatorClient(client *http.Client, addr, key string) marblepondv1connect.OperatorServiceClient {
	return marblepondv1connect.NewOperatorServiceClient(client, "http://"+addr,
		connect.WithInterceptors(present(key)), connect.WithReadMaxBytes(maxMessage))
}

func present(key string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set(keyHeader, key)
			return next(ctx, req)
		}
	})
}

// RequireKey returns handler options that refuse calls without the key and turn
// errors into those of the error table.
func RequireKey(key string) []connect.HandlerOption {
	check := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if subtle.ConstantTimeCompare([]byte(req.Header().Get(keyHeader)), []byte(key)) != 1 {
				return nil, errkind.Connect(errkind.Unauthenticated.New("wrong or missing key"))
			}
			resp, err := next(ctx, req)
			if err != nil {
				return nil, errkind.Connect(err)
			}
			return resp, nil
		}
	})
	return []connect.HandlerOption{connect.WithInterceptors(check), connect.WithReadMaxBytes(maxMessage), connect.WithCompression("gzip", nil, nil)}
}

// NewHTTPClient returns a client for HTTP/2 without TLS between nodes.
func NewHTTPClient(transport *http.Transport) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport.Protocols = protocols
	return &http.Client{Transport: transport}
}
