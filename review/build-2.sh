#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10, after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/ ./review/standin2
