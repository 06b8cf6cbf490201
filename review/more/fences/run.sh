#!/usr/bin/env bash
cd "$(dirname "$0")" && PROGRAM=$PWD/../../../target/rosemarywick exec ../../../target/review/fences
