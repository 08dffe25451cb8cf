#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin, after the build of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for main in review/testdata/case*/main.go; do
  folder=$(dirname "$main")
  go build -o "review/bin/$(basename "$folder")" "./$folder"
done
