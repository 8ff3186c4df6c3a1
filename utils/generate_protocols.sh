#!/usr/bin/env bash
# Regenerates the C++ code of proto/. Needs protobuf-compiler and
# protobuf-compiler-grpc. The result is committed, so builds need neither.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=lib/peers/generated --grpc_out=lib/peers/generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peer.proto
