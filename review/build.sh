#!/usr/bin/env bash
# Builds the program that plays the cases. It needs no network beyond what the build of the deploy file needs.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/stand ./review/stand
