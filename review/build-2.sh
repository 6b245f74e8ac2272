#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8. The build of deploy/system.toml goes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/_rig2
