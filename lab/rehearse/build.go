package rehearse

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// WithDaemon builds the daemon into a temporary folder, calls use with the path of
// the program and removes the folder. Tests that start the daemon use it in TestMain;
// code is what use returned.
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
