#!/usr/bin/env bash
# Generates pkg/operatorpb and internal/peer/peerpb from the schemas. Needs
# protoc (Debian package protobuf-compiler), protoc-gen-go v1.36.12 and
# protoc-gen-go-grpc v1.6.2.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --go_out=. --go_opt=module=oriolevalve \
  --go-grpc_out=. --go-grpc_opt=module=oriolevalve \
  operator/v1/operator.proto
protoc -I proto --go_out=. --go_opt=module=oriolevalve peer/v1/peer.proto
