#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start: one program without dependencies.
set -e
cd "$(dirname "$0")/rig-2"
mkdir -p bin
GOWORK=off GOFLAGS=-buildvcs=false go build -o bin/rig2 .
