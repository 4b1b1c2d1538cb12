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

// CloudClient is the client of the cloud's interface. Its errors are those of package cloud, wrapped. Its methods
// may be called from several goroutines.
type CloudClient struct {
	baseURL string
	client  *jsonClient
}

var _ autoscaling.Cloud = (*CloudClient)(nil)

// NewCloudClient returns a client of the cloud at addr, an IP address with a port.
func NewCloudClient(addr string) *CloudClient {
	return &CloudClient{"http://" + addr, newServerClient()}
}

// noCapacity is the cloud's error text for a launch that it has no machines for.
const noCapacity = "no capacity"

// send sends one request, decodes a successful response into out unless that is nil, and maps every other
// outcome to an error of package cloud.
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

// MachineTypes returns the instance types of the cloud's catalogue, at least one.
func (c *CloudClient) MachineTypes(ctx context.Context) ([]storage.MachineType, error) {
	var catalogue protocol.Catalogue
	if err := c.send(ctx, http.MethodGet, "/catalog", nil, &catalogue); err != nil {
		return nil, err
	}
	types := catalogue.MachineTypes()
	if len(types) == 0 {
		return nil, fmt.Errorf("%w: empty catalogue", cloud.ErrUnknownOutcome)
	}
	return types, nil
}

// Launch launches machines and returns their ids. The request is idempotent by its name.
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

// Terminate terminates machines; once it succeeds, they are gone.
func (c *CloudClient) Terminate(ctx context.Context, machines []int) error {
	return c.send(ctx, http.MethodPost, "/rentals/delete", protocol.NewMachineNames(machines), nil)
}

// List returns a page of at most limit machines, those after an id unless after is negative, and whether there are
// more.
func (c *CloudClient) List(ctx context.Context, after int, limit int) (machines []cloud.Machine, more bool, err error) {
	query := url.Values{"Page": {strconv.Itoa(limit)}}
	if after >= 0 {
		query.Set("From", protocol.MachineName(after))
	}
	var page protocol.MachineList
	if err := c.send(ctx, http.MethodGet, "/rentals?"+query.Encode(), nil, &page); err != nil {
		return nil, false, err
	}
	machines, err = page.Page()
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", cloud.ErrUnknownOutcome, err)
	}
	return machines, page.More, nil
}
