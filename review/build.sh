#!/bin/bash
# Builds the stand-ins of the review's cases into review/bin. It needs the modules that the build of the
# deploy file has fetched, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/stand ./review/boxes
