#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use nothing but Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-2-harness .
