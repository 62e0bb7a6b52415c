#!/bin/sh
# Builds the stand-ins of the scripts, with the compiler and the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin.rs -o target/review/standin
