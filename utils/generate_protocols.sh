#!/usr/bin/env bash
# Writes the code of proto/ anew. Needs protobuf-compiler and
# protobuf-compiler-grpc; the result is committed, so builds need neither.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=lib/peers/generated --grpc_out=lib/peers/generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peer.proto
