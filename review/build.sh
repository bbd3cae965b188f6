#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o "${OUT:-target/review/standin}" review/standin.rs
