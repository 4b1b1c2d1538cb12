package loopbacktest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
)

// Leader is the controller that holds the leadership key, if its process runs; nil: none.
func (f *Fleet) Leader() *Controller {
	item, err := f.State.client().Get(context.Background(), "lead")
	if err != nil {
		return nil
	}
	var lead struct {
		Node string `json:"n"`
	}
	if json.Unmarshal(item.Data, &lead) != nil {
		return nil
	}
	for _, c := range f.Controllers {
		if c.Name == lead.Node && c.process != nil {
			return c
		}
	}
	return nil
}

// Build builds the controllers' program of this source into dir. It must be called within the module.
func Build(ctx context.Context, dir string, errors io.Writer) (string, error) {
	binary := filepath.Join(dir, "sagevale")
	build := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", binary, "sagevale/cmd/sagevale")
	build.Stderr = errors
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("build the controllers' program: %w", err)
	}
	return binary, nil
}
