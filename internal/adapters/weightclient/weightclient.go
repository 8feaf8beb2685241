// Package weightclient is the adapter for the platform's weight store over HTTP.
package weightclient

import (
	"context"
	"fmt"
	"net/url"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/httpx"
)

// PathVersions is the path of a model's versions.
const PathVersions = "/versions"

// Reply is the response with the versions of a model, oldest first.
type Reply struct {
	Versions []infra.WeightVersion `json:"versions"`
}

// Client implements infra.WeightStore.
type Client struct{ http *httpx.Client }

// New returns an adapter for the weight store at an address.
func New(addr string, o httpx.Options) infra.WeightStore {
	return &Client{http: httpx.New(addr, o)}
}

// Versions implements infra.WeightStore.
func (c *Client) Versions(ctx context.Context, model string) ([]infra.WeightVersion, error) {
	path := PathVersions + "?model=" + url.QueryEscape(model)
	reply, err := httpx.GetJSON[Reply](ctx, c.http, path)
	if err != nil {
		return nil, fmt.Errorf("%w: versions: %w", infra.ErrUnavailable, err)
	}
	return reply.Versions, nil
}
