#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/rig ./review/rig
