package dial

import "net/http"

// WithoutRedirects returns a copy of a client that returns redirects as answers. A followed one
// would be answered elsewhere, with another method, and a call would be made twice.
func WithoutRedirects(c *http.Client) *http.Client {
	direct := *c
	direct.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &direct
}
