#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: one program that plays clients, database machines and discovery.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-driver2 ./review/driver2
