package dial

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrInvalidAnswer is the error of a request whose answer is no valid HTTP, or of a form that the
// request does not allow. Nothing in it is to be believed; the error has none of its text, since it
// may be shown to callers.
var ErrInvalidAnswer = errors.New("the answer is invalid")

// CheckAnswers returns a transport that returns ErrInvalidAnswer in place of an answer with an
// invalid head, and closes its connection.
func CheckAnswers(next http.RoundTripper) http.RoundTripper {
	if next == nil {
		next = http.DefaultTransport
	}
	return checkedTransport{next}
}

// WithCheckedAnswers returns a copy of a client that checks answers as CheckAnswers does.
func WithCheckedAnswers(c *http.Client) *http.Client {
	checked := *c
	checked.Transport = CheckAnswers(c.Transport)
	return &checked
}

type checkedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	use, traced := req.Context().Value(connUseKey{}).(*ConnUse)
	if !traced {
		use = &ConnUse{BodyBytes: bodyBytes(req)}
		req = req.WithContext(use.Trace(req.Context()))
	}
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkHead(req, resp); err != nil {
		resp.Body.Close()
		use.Discard() // an answer without a body has returned it to the pool
		return nil, err
	}
	return resp, nil
}

// bodyBytes returns the length of a request's body, -1 if it is not known.
func bodyBytes(req *http.Request) int64 {
	if req.ContentLength == 0 && req.Body != nil && req.Body != http.NoBody {
		return -1
	}
	return req.ContentLength
}

// CloseIdleConnections serves http.Client.CloseIdleConnections.
func (t checkedTransport) CloseIdleConnections() {
	(&http.Client{Transport: t.next}).CloseIdleConnections()
}

// The status codes of final answers (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinalStatus reports whether a status is that of a final answer. No request asks for the protocol
// switch of an interim one.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// checkHead checks what net/http accepts in the head of an answer though it is invalid, or is no
// answer to the request.
func checkHead(req *http.Request, resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q", ErrInvalidAnswer, resp.Proto)
	}
	if !IsFinalStatus(resp.StatusCode) {
		return fmt.Errorf("%w: status %03d", ErrInvalidAnswer, resp.StatusCode)
	}
	for name := range resp.Header {
		if at := firstNonToken(name); at >= 0 { // the field may be meant to frame the body, and was not applied
			return fmt.Errorf("%w: byte %#02x in a field name", ErrInvalidAnswer, name[at])
		}
	}
	if resp.StatusCode == http.StatusPartialContent && req.Header.Get("Range") == "" {
		return fmt.Errorf("%w: a part of a body that was not asked for", ErrInvalidAnswer)
	}
	return checkCoding(req, resp)
}

// checkCoding returns an error if the body has a content coding that the request does not list.
func checkCoding(req *http.Request, resp *http.Response) error {
	codings := resp.Header.Values("Content-Encoding")
	if len(codings) == 0 {
		return nil
	}
	accepted := map[string]bool{"": true, "identity": true}
	for _, coding := range listed(req.Header.Values("Accept-Encoding")) {
		accepted[coding] = true
	}
	for _, coding := range listed(codings) {
		if !accepted[coding] && !accepted["*"] {
			return fmt.Errorf("%w: a content coding that was not asked for", ErrInvalidAnswer)
		}
	}
	return nil
}

// listed returns the elements of a field that is a list, without their parameters and in lower case.
func listed(values []string) (elements []string) {
	for _, element := range strings.Split(strings.Join(values, ","), ",") {
		name, _, _ := strings.Cut(element, ";")
		elements = append(elements, strings.ToLower(strings.TrimSpace(name)))
	}
	return elements
}

// firstNonToken returns the index of the first byte that no token has (RFC 9110, section 5.6.2), as
// field names are; -1: there is none.
func firstNonToken(name string) int {
	for i := range len(name) {
		if c := name[i]; !isAlphanumeric(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return i
		}
	}
	return -1
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
