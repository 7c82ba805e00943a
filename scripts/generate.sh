#!/bin/sh
# Regenerates the Go code of api/. Needs protoc, protoc-gen-go and protoc-gen-connect-go on
# PATH.
set -e
cd "$(dirname "$0")/../api"
protoc --go_out=. --go_opt=paths=source_relative \
  --connect-go_out=. --connect-go_opt=paths=source_relative,simple \
  marblepond/v1/*.proto
