#!/bin/sh
# Builds the stand-ins of the cases 4 to 8.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -o ../../target/standin-2 .
