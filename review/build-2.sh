#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the project's own program: the stand-ins of the platform, of its
# workers and of the clients.
set -euo pipefail
cd "$(dirname "$0")"
go build -o ../target/review-2/lab ./lab
