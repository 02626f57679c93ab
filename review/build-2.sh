#!/usr/bin/env bash
# Builds the stand-ins of the script cases in review/6 to review/10.
set -eu
cd "$(dirname "$0")/.."
go build -o build/review-2/ ./review/rig2
