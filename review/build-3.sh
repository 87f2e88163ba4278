#!/usr/bin/env bash
# Builds the stand-ins that the scripts in the folders 11 to 15 start. Run it after the build of the
# deploy file.
cd "$(dirname "$0")/.." && go build -ldflags=-linkmode=external -o target/review/ ./review/standin3
