#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into build/, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build
go build -o build/rig3 ./review/rig3
