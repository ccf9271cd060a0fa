#!/usr/bin/env bash
# Builds the stand-ins of the review. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOFLAGS=-buildvcs=false go build -o target/review-standin review/standin/*.go
