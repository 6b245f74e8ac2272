#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/. The routers are built as
# the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/_rig
