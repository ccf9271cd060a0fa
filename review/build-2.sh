#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. They need the standard library only, and no network.
set -e
cd "$(dirname "$0")/.."
GOWORK=off go build -o target/review-standin-2 review/standin-2/*.go
