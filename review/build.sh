#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs Go alone, and no network.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS= GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/review-standin .
