package loopbacktest

import (
	"context"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
)

// Build compiles the controllers' program from the source of this module into dir and returns the path of the binary. The
// working directory must be within the module. The compiler's messages are written to stderr.
func Build(ctx context.Context, dir string, stderr io.Writer) (string, error) {
	binary := filepath.Join(dir, "sagevale")
	build := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", binary, "sagevale/cmd/sagevale")
	build.Stderr = stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("build the controllers' program: %w", err)
	}
	return binary, nil
}
