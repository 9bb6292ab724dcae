package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// The days at size load a library into the gateway's process: what the deploy
// file builds has to name a dynamic loader and to use the C library.
func TestDeployBuildsForTheDynamicLoader(t *testing.T) {
	if testing.Short() {
		t.Skip("links the programs once more")
	}
	var deploy struct{ Build, Run string }
	if _, err := toml.DecodeFile("../../deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	build := strings.Replace(deploy.Build, "-o bin/", "-o "+dir+"/", 1)
	if build == deploy.Build || !strings.HasPrefix(deploy.Run, "exec bin/") {
		t.Fatalf("build %q and run %q: bin/ is where the programs are wanted", deploy.Build, deploy.Run)
	}
	sh := exec.Command("/bin/sh", "-c", build)
	sh.Dir = "../.."
	sh.Env = append(os.Environ(), "CGO_ENABLED=") // only what the line itself sets
	if out, err := sh.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f, err := elf.Open(filepath.Join(dir, strings.TrimPrefix(deploy.Run, "exec bin/")))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	loader := slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP })
	libs, err := f.ImportedLibraries()
	if err != nil || !loader || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
		t.Errorf("names a dynamic loader: %v; links %v, %v", loader, libs, err)
	}
	// Go's own linker names both too, for package net, but starts without the C library.
	symbols, err := f.ImportedSymbols()
	if err != nil || !slices.ContainsFunc(symbols, func(s elf.ImportedSymbol) bool { return s.Name == "__libc_start_main" }) {
		t.Errorf("is not started by the C library (%v): built without external linking", err)
	}
}
