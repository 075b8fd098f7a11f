#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases: store, workers and clients are in one program.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-lab ./review/lab
