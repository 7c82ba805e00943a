package dial

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestFieldNamesAreTokens guards against field names with a byte that is not allowed in a token, and
// against sound ones that are rejected.
func TestFieldNamesAreTokens(t *testing.T) {
	is := is.New(t)
	const others = "!#$%&'*+-.^_`|~"
	for c := range 256 {
		isTokenByte := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		for i := range len(others) {
			isTokenByte = isTokenByte || int(others[i]) == c
		}
		is.Equal(firstNonToken("x"+string([]byte{byte(c)})+"y") < 0, isTokenByte)
	}
}

// TestCodingsThatWereAskedForAreAccepted guards against an encoded body that reaches a caller who did
// not ask for it, and against one that is rejected though the caller did.
func TestCodingsThatWereAskedForAreAccepted(t *testing.T) {
	for _, c := range []struct {
		asked, coding string
		sound         bool
	}{
		{"", "", true},
		{"", "identity", true},
		{"", "gzip", false},
		{"identity", "gzip", false},
		{"gzip", "gzip", true},
		{"br;q=0.5, GZIP", "Gzip", true},
		{"gzip", "gzip, br", false},
		{"*", "br", true},
	} {
		is := is.New(t)
		req := &http.Request{Header: http.Header{"Accept-Encoding": {c.asked}}}
		resp := &http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, Header: http.Header{"Content-Encoding": {c.coding}}}
		is.Equal(checkHead(req, resp) == nil, c.sound)
	}
}

// BenchmarkCheckHead measures the check of an answer's head, which each request pays for.
func BenchmarkCheckHead(b *testing.B) {
	resp := &http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, Header: http.Header{
		"Content-Type": {"text/event-stream"}, "Date": {"Mon, 07 Dec 2026 01:00:00 GMT"}, "Keep-Alive": {"timeout=5"}, "Request-Id": {"9c41d07be2a35f68"},
		"Server-Stamp": {"3e1b.07.5a2.600.0.c9f2a4d1"}, "Weight-Versions": {"1"}, "Cache-Control": {"no-store"}, "Instance-Id": {"i-7f3a91c2"},
	}}
	req := &http.Request{Header: http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		if err := checkHead(req, resp); err != nil {
			b.Fatal(err)
		}
	}
}
