#!/bin/bash
# Builds the stand-ins of the review. They use the standard library only, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")"
export GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off
mkdir -p bin
go build -o bin/standin ./standin
