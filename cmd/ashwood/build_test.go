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

// Large test runs preload a library into the gateway's process, so the program built by the
// deploy file must name a dynamic loader and use the C library.
func TestDeployBuild_DynamicLoader(t *testing.T) {
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
		t.Fatalf("build %q and run %q: the programs must be built into bin/ and run from it", deploy.Build, deploy.Run)
	}
	sh := exec.Command("/bin/sh", "-c", build)
	sh.Dir = "../.."
	sh.Env = append(os.Environ(), "CGO_ENABLED=") // so that only the build line's own setting counts
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
		t.Errorf("has a dynamic loader: %v; linked libraries %v, %v", loader, libs, err)
	}
	// Go's internal linker also names both because of package net, but that program starts without
	// the C library.
	symbols, err := f.ImportedSymbols()
	if err != nil || !slices.ContainsFunc(symbols, func(s elf.ImportedSymbol) bool { return s.Name == "__libc_start_main" }) {
		t.Errorf("not started by the C library (%v): built without external linking", err)
	}
}
