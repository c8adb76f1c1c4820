#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: the platform, endpoints, clients and the operator, in one program without dependencies.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-standin .
