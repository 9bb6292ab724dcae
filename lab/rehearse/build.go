package rehearse

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// WithDaemon builds the gateway's binary into a temporary directory, calls use with
// its path, and removes it. It is for tests that start gateways.
func WithDaemon(use func(program string) int) (code int, err error) {
	dir, err := os.MkdirTemp("", "ashwood")
	if err != nil {
		return 1, fmt.Errorf("rehearse: %w", err)
	}
	defer os.RemoveAll(dir)
	program := filepath.Join(dir, "ashwood")
	if out, err := exec.Command("go", "build", "-o", program, "ashwood.example/ashwood/cmd/ashwood").CombinedOutput(); err != nil {
		return 1, fmt.Errorf("rehearse: building the daemon: %w: %s", err, out)
	}
	return use(program), nil
}
