#!/bin/sh
# Builds the stand-ins of cases 6 to 10: one program without dependencies, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/stand-ins-2/main.rs
