#!/bin/sh
# Plays the case of this folder, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
CASE_DIR=$(pwd)
ROOT=$(cd ../.. && pwd)
export CASE_DIR ROOT
case="$ROOT/target/review-2/case-$(basename "$CASE_DIR")"
if [ ! -x "$case" ] || [ ! -x "$ROOT/target/release/madderpitch" ]; then
    echo "build first: the build command of deploy/balancer.toml, then review/build-2.sh" | tee record.txt
    exit 2
fi
"$case"
result=$?
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
