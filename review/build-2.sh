#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -O -o target/review-2/review-2 review/standin-2.rs
