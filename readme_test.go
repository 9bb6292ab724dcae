package ashwood

import (
	"os"
	"strings"
	"testing"
)

// The example code in the README is that of the programs under examples, which CI builds. Otherwise it could go stale.
func TestReadme_Examples(t *testing.T) {
	readme, err := os.ReadFile("README.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"examples/grpc/main.go", "examples/fiber/main.go"} {
		code, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		_, body, ok := strings.Cut(string(code), "\n")
		if !ok || !strings.Contains(string(readme), "```go\n"+body+"```") {
			t.Errorf("README.md does not contain the present code of %s", name)
		}
	}
}
