#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs Go alone, and no network.
set -eu
cd "$(dirname "$0")/standin2"
GOFLAGS= GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/review-standin-2 .
