#!/usr/bin/env bash
# Checks every model in spec/ exhaustively with spin: the model must have no violation, and
# its variant with BROKEN defined must have one.
set -euo pipefail
cd "$(dirname "$0")/../spec"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
here=$PWD
check() { # arguments: model, preprocessor flag
  cd "$work"
  rm -f pan* ./*.trail
  spin $2 -a "$here/$1" >/dev/null
  gcc -O2 -DSAFETY -DCOLLAPSE -w -o pan pan.c
  timeout 120 ./pan -m200000
  cd "$here"
}
for model in *.pml; do
  out=$(check "$model" "")
  grep -q "errors: 0" <<<"$out" || { echo "$model: not verified"; echo "$out"; exit 1; }
  grep -q "max search depth too small" <<<"$out" && { echo "$model: the search was not exhaustive"; exit 1; }
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$out")
  broken=$(check "$model" -DBROKEN || true)
  grep -q "errors: 1" <<<"$broken" || { echo "$model: no violation found in the broken variant"; exit 1; }
  echo "$model: holds in all $states states; the broken variant has a counterexample"
done
