#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases start, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o bin/standin ./standin
