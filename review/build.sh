#!/bin/sh
# Builds the stand-ins that the scripts start: one program of this folder, without dependencies.
set -e
cd "$(dirname "$0")/rig"
mkdir -p ../.bin
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../.bin/rig .
