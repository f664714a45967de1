#!/bin/bash
# Builds the stand-ins of the cases. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false go build -o ../../target/review/standin .
