package transport

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"sagevale/internal/autoscaling"
	"sagevale/internal/cloud"
	"sagevale/internal/protocol"
	"sagevale/internal/storage"
)

// CloudClient is a client of the cloud's HTTP API. Its methods return errors of package cloud, possibly wrapped, and may
// be called from several goroutines.
type CloudClient struct {
	baseURL string
	client  *jsonClient
}

var _ autoscaling.Cloud = (*CloudClient)(nil)

// NewCloudClient returns a client of the cloud at addr, which is an IP address with a port.
func NewCloudClient(addr string) *CloudClient {
	return &CloudClient{"http://" + addr, newServerClient()}
}

// noCapacity is the error text in the cloud's response to a launch for which it has no machines.
const noCapacity = "no capacity"

// send sends one request and decodes a successful response into out, unless out is nil. It maps every other outcome
// to an error of package cloud.
func (c *CloudClient) send(ctx context.Context, method, path string, in, out any) error {
	resp, sent, err := c.client.do(ctx, method, c.baseURL+path, in)
	switch {
	case err != nil && sent:
		return fmt.Errorf("%w: %w", cloud.ErrUnknownOutcome, err)
	case err != nil:
		return fmt.Errorf("%w: %w", cloud.ErrRejected, err)
	}
	switch resp.status {
	case http.StatusOK:
		if err := resp.decode(out); err != nil {
			return fmt.Errorf("%w: %w", cloud.ErrUnknownOutcome, err)
		}
		return nil
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %.200s", cloud.ErrMalformed, resp.body)
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: too many requests", cloud.ErrRejected)
	case http.StatusServiceUnavailable:
		var failure protocol.ErrorResponse
		if err := resp.decode(&failure); err == nil && failure.Error == noCapacity {
			return cloud.ErrNoCapacity
		}
		return fmt.Errorf("%w: %.200s", cloud.ErrRejected, resp.body)
	}
	return fmt.Errorf("%w: status %d", cloud.ErrUnknownOutcome, resp.status)
}

// MachineTypes returns the valid instance types in the cloud's catalog. It returns an error if there are none.
func (c *CloudClient) MachineTypes(ctx context.Context) ([]storage.MachineType, error) {
	var catalog protocol.Catalog
	if err := c.send(ctx, http.MethodGet, "/catalog", nil, &catalog); err != nil {
		return nil, err
	}
	types := catalog.MachineTypes()
	if len(types) == 0 {
		return nil, fmt.Errorf("%w: empty catalog", cloud.ErrUnknownOutcome)
	}
	return types, nil
}

// Launch launches machines and returns their IDs. The name makes the request idempotent: if the request is repeated with
// the same name, the cloud launches no further machines.
func (c *CloudClient) Launch(ctx context.Context, name string, launch storage.LaunchRecord) ([]int, error) {
	var names protocol.MachineNames
	if err := c.send(ctx, http.MethodPost, "/rentals", protocol.NewLaunchRequest(name, launch), &names); err != nil {
		return nil, err
	}
	ids, err := names.IDs()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", cloud.ErrUnknownOutcome, err)
	}
	return ids, nil
}

// Terminate terminates machines. When it returns without an error, the machines no longer exist.
func (c *CloudClient) Terminate(ctx context.Context, machines []int) error {
	return c.send(ctx, http.MethodPost, "/rentals/delete", protocol.NewMachineNames(machines), nil)
}

// List returns one page of at most limit machines from the cloud's list of machines. more reports whether further
// machines follow the page. If after is negative, the first page of the list is returned. If after is a machine's ID, the
// page starts with the machine that follows this ID in the list.
func (c *CloudClient) List(ctx context.Context, after int, limit int) (machines []cloud.Machine, more bool, err error) {
	query := url.Values{"Page": {strconv.Itoa(limit)}}
	if after >= 0 {
		query.Set("From", protocol.MachineName(after))
	}
	var page protocol.MachineList
	if err := c.send(ctx, http.MethodGet, "/rentals?"+query.Encode(), nil, &page); err != nil {
		return nil, false, err
	}
	machines, err = page.ParseMachines()
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", cloud.ErrUnknownOutcome, err)
	}
	return machines, page.More, nil
}
