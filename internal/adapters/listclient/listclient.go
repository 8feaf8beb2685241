// Package listclient is the adapter for the platform's list of instances over HTTP.
package listclient

import (
	"context"
	"fmt"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/httpx"
)

// PathInstances is the path of the list.
const PathInstances = "/instances"

// Reply is the response with the list.
type Reply struct {
	Instances []infra.Instance `json:"instances"`
}

// Client implements infra.InstanceList.
type Client struct{ http *httpx.Client }

// New returns an adapter for the list at an address.
func New(addr string, o httpx.Options) infra.InstanceList {
	return &Client{http: httpx.New(addr, o)}
}

// Instances implements infra.InstanceList.
func (c *Client) Instances(ctx context.Context) ([]infra.Instance, error) {
	reply, err := httpx.GetJSON[Reply](ctx, c.http, PathInstances)
	if err != nil {
		return nil, fmt.Errorf("%w: instances: %w", infra.ErrUnavailable, err)
	}
	return reply.Instances, nil
}
