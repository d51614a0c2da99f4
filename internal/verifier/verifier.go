// Package verifier decides which heads of HTTP responses may be used.
//
// The parser of net/http takes any three characters for a status that form a number, so 000,
// +99 and 999 come through it. HTTP defines 100 to 599 (RFC 9110, section 15). A response
// with another status comes from a server that cannot be trusted: whether it has run the
// request is not known, and the response must not be passed on.
package verifier

import (
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
type Transport struct{ Base http.RoundTripper }

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
	return resp, nil
}

// NewClient returns a client that accepts only final responses and follows no redirects: where
// a request goes is not for the server to say that answers it.
func NewClient(base http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     Transport{base},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
