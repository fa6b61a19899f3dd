#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library alone. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$folder/case.rs" ] || continue
  rustc --edition 2021 -O -o "target/review-2/case-${folder#review/}" "$folder/case.rs"
done
