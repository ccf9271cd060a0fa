#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to 15 start. Needs no network and no package.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/standin-3 .
