// Package listclient reads the platform's list of instances over HTTP.
package listclient

import (
	"context"
	"fmt"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/platform"
)

// PathInstances is where the list stands.
const PathInstances = "/instances"

// Reply is the response with the list.
type Reply struct {
	Instances []platform.Instance `json:"instances"`
}

// Client is the adapter.
type Client struct{ http *httpx.Client }

// New returns an adapter for the list at an address.
func New(addr string, o httpx.Options) platform.InstanceList {
	return &Client{http: httpx.New(addr, o)}
}

// Instances implements platform.InstanceList.
func (c *Client) Instances(ctx context.Context) ([]platform.Instance, error) {
	reply, err := httpx.GetJSON[Reply](ctx, c.http, PathInstances)
	if err != nil {
		return nil, fmt.Errorf("%w: instances: %w", platform.ErrUnavailable, err)
	}
	return reply.Instances, nil
}
