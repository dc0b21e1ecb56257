#!/usr/bin/env bash
# Builds the stand-ins that the cases of this review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig-2 review/rig-2/*.go
