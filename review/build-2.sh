#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need the standard library of Go only, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p bin
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o bin/standin2 .
