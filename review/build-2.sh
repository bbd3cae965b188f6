#!/bin/sh
# Builds every stand-in that a script of the second review starts. The router is built by the command of
# the deploy file. No project stand-in is started: the hosting platform's store and servers are new ones.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/second.rs
