package ashwood

import (
	"os"
	"strings"
	"testing"
)

// The README's examples are the programs under examples, which CI builds.
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
			t.Errorf("%s is not in the README as it stands", name)
		}
	}
}
