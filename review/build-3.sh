#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -o target/review3/ ./review/rig3
