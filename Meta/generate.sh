#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code. The build itself needs no generator.
set -euo pipefail

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"

generate() {
    local directory="$ROOT/Libraries/$1"
    shift
    mkdir -p "$directory/Generated"
    protoc --proto_path="$directory" --cpp_out="$directory/Generated" --grpc_out="$directory/Generated" \
        --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" "$@"
}

generate LibStoreProtocol Store.proto StoreControl.proto
generate LibOperatorProtocol Operator.proto
