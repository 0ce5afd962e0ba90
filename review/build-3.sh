#!/bin/sh
# Builds the stand-in of the cases 11 to 15 into target/, without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/stand3
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off CGO_ENABLED=0 go build -o ../../target/stand3 .
