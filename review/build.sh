#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/, after the build of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -tags review -o target/review-cluster ./review/cluster
