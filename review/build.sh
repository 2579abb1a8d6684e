#!/usr/bin/env bash
# Builds the stand-ins of all cases, with the standard library alone and without a network.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS= GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/review-standin ./standin
