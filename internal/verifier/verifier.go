// Package verifier decides which heads of HTTP responses may be used.
//
// The parser of net/http takes any three characters for a status that form a number, so 000,
// +99 and 999 come through it. HTTP defines 100 to 599 (RFC 9110, section 15). A response
// with another status comes from a server that cannot be trusted: whether it has run the
// request is not known, and the response must not be passed on.
package verifier

import (
	"io"
	"net/http"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("response")

// statusEnd is the lowest number that is no status of HTTP any more.
const statusEnd = 600

// IsInterim reports whether a response is followed by another one to the same request. A
// switch of protocols is not, and nobody asks for one.
func IsInterim(resp *http.Response) bool {
	return hasThreeDigits(resp) && resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK &&
		resp.StatusCode != http.StatusSwitchingProtocols
}

// CheckFinal returns an error unless the status of a response is one that can end a request.
func CheckFinal(resp *http.Response) error {
	if !hasThreeDigits(resp) || resp.StatusCode < http.StatusOK || resp.StatusCode >= statusEnd {
		return Error.New("%.20q is not the status of a final response", resp.Status)
	}
	return nil
}

// hasThreeDigits reports whether the status is written as three digits, without a sign.
func hasThreeDigits(resp *http.Response) bool {
	code, _, _ := strings.Cut(resp.Status, " ")
	return len(code) == 3 && strings.Trim(code, "0123456789") == ""
}

// Transport returns the responses of another RoundTripper, but an error for each one that
// CheckFinal does not accept.
type Transport struct {
	Base http.RoundTripper
	// MaxBodyBytes is the size of the longest body that is read; 0 means no limit.
	MaxBodyBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckFinal(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if t.MaxBodyBytes > 0 {
		resp.Body = &limitedBody{ReadCloser: resp.Body, left: t.MaxBodyBytes}
	}
	return resp, nil
}

// limitedBody is a body that ends with an error once it is too long. Nothing more of it is read
// then, even to keep its connection.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, Error.New("the body is too long")
	}
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return n, errs.Combine(Error.New("the body is too long"), b.Close())
	}
	return n, err
}

// NewClient returns a client that accepts only final responses and follows no redirects: where
// a request goes is not for the server to say that answers it.
func NewClient(base http.RoundTripper) *http.Client { return newClient(Transport{Base: base}) }

// NewLimitedClient returns the same for responses that are read whole, of maxBodyBytes at most.
func NewLimitedClient(base http.RoundTripper, maxBodyBytes int64) *http.Client {
	return newClient(Transport{Base: base, MaxBodyBytes: maxBodyBytes})
}

func newClient(t Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
