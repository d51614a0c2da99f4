// Package dialer makes clients of the operators' calls.
package dialer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1/trefoilheadv1connect"
)

// NewOperatorClient returns a client that calls the entry process at a base URL with
// an operators' key.
func NewOperatorClient(client *http.Client, url, key string) trefoilheadv1connect.OperatorClient {
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, r)
		}
	})
	return trefoilheadv1connect.NewOperatorClient(client, url, connect.WithInterceptors(auth))
}
