package transport

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/protocol"
	"sagevale/internal/scheduler"
	"sagevale/internal/storage"
)

// CloudClient rents machines.
type CloudClient struct {
	base string
	c    *client
}

var _ scheduler.Cloud = (*CloudClient)(nil)

// NewCloudClient makes a client of the cloud at addr.
func NewCloudClient(addr string) *CloudClient {
	return &CloudClient{"http://" + addr, newClient(4, 8, time.Minute)}
}

func (c *CloudClient) send(ctx context.Context, method, path string, in, out any) error {
	ex, sent, err := c.c.do(ctx, method, c.base+path, in)
	switch {
	case err != nil && sent:
		return fmt.Errorf("%w: %w", cloud.ErrUnknownOutcome, err)
	case err != nil:
		return fmt.Errorf("%w: %w", cloud.ErrRejected, err)
	}
	switch ex.status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if err := decode(ex.body, out); err != nil {
			return fmt.Errorf("%w: %w", cloud.ErrUnknownOutcome, err)
		}
		return nil
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %.200s", cloud.ErrMalformed, ex.body)
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: too many requests", cloud.ErrRejected)
	case http.StatusServiceUnavailable:
		var r protocol.Refusal
		if err := decode(ex.body, &r); err == nil && r.Error == noCapacity {
			return cloud.ErrNoCapacity
		}
		return fmt.Errorf("%w: %.200s", cloud.ErrRejected, ex.body)
	}
	return fmt.Errorf("%w: status %d", cloud.ErrUnknownOutcome, ex.status)
}

// noCapacity is how the cloud refuses a rental.
const noCapacity = "no capacity"

// MachineTypes reads the machine types.
func (c *CloudClient) MachineTypes(ctx context.Context) ([]storage.MachineType, error) {
	var cat protocol.Catalogue
	if err := c.send(ctx, http.MethodGet, "/catalog", nil, &cat); err != nil {
		return nil, err
	}
	types := cat.MachineTypes()
	if len(types) == 0 {
		return nil, fmt.Errorf("%w: empty catalogue", cloud.ErrUnknownOutcome)
	}
	return types, nil
}

// Launch rents machines under a request name.
func (c *CloudClient) Launch(ctx context.Context, name string, h storage.LaunchRecord) ([]int, error) {
	var names protocol.MachineNames
	if err := c.send(ctx, http.MethodPost, "/rentals", protocol.NewRental(name, h), &names); err != nil {
		return nil, err
	}
	ids, err := names.IDs()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", cloud.ErrUnknownOutcome, err)
	}
	return ids, nil
}

// Terminate has machines taken; once it succeeds, they are gone.
func (c *CloudClient) Terminate(ctx context.Context, machines []int) error {
	return c.send(ctx, http.MethodPost, "/rentals/delete", protocol.NewMachineNames(machines), nil)
}

// List reads a page of the machine list.
func (c *CloudClient) List(ctx context.Context, after int, limit int) ([]cloud.Machine, bool, error) {
	q := url.Values{"Page": {strconv.Itoa(limit)}}
	if after >= 0 {
		q.Set("From", protocol.MachineName(after))
	}
	var l protocol.MachineList
	if err := c.send(ctx, http.MethodGet, "/rentals?"+q.Encode(), nil, &l); err != nil {
		return nil, false, err
	}
	machines, err := l.Listed()
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", cloud.ErrUnknownOutcome, err)
	}
	return machines, l.More, nil
}
